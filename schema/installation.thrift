// Configuration of an installation, and its endpoints.

// Share of one service in a route's traffic split.
struct TrafficShare {
  1: string service_name = ""
  // Share of the route's requests relative to the other entries.
  2: double weight = 0
}

// Whether the requests of a route may be repeated.
enum RequestKind {
  // May run more than once.
  IDEMPOTENT = 1
  // May run at most once for each attempt of the caller.
  NON_IDEMPOTENT = 2
  // Answers with a stream of numbered events.
  STREAM = 3
}

// Route for the requests of one host below one path prefix.
struct Route {
  1: string name = ""
  2: string host = ""
  // Path prefix; begins and ends with a slash.
  3: string path_prefix = ""
  4: RequestKind kind = RequestKind.NON_IDEMPOTENT
  // Longest time that a request may wait. @unit seconds
  5: double timeout_s = 0
  // Target latency; answers within it have the highest value. @unit seconds
  6: double target_latency_s = 0
  // Longest interval between two events that meets the latency target. @unit seconds
  7: double target_gap_s = 0
  // Priority of the route; 0 is the most urgent.
  8: i32 priority = 0
  // Maximum number of endpoints that one attempt of the caller may be sent to.
  9: i32 max_attempts = 1
  // Requests need no caller key.
  10: bool anonymous = 0
  // A stream may be resumed at another endpoint after its last delivered event.
  11: bool resumable = 0
  12: list<TrafficShare> shares = []
}

// Performance model of the engines of a service.
struct EngineModel {
  // Requests that one engine decodes concurrently.
  1: i32 slots = 0
  // Memory of one engine. @unit tokens
  2: i64 memory_tokens = 0
  // Decode steps between two events of a stream.
  3: i32 steps_per_pass = 1
  // Base time of one decode step, without any request. @unit milliseconds
  4: double step_ms = 0
  // Time that each decoding request adds to a step. @unit milliseconds
  5: double step_per_request_ms = 0
  // Time that 1,000 tokens of context add to a step. @unit milliseconds
  6: double step_per_kilotoken_ms = 0
  // Prompt tokens prefilled per second.
  7: double read_tokens_per_s = 0
  // Prefill time of a million pairs of a token and an earlier token. @unit milliseconds
  8: double read_per_megapair_ms = 0
  // Time that a joint prefill with other engines adds to each step. @unit milliseconds
  9: double joint_step_ms = 0
}

// A pool of interchangeable endpoints.
struct Service {
  1: string name = ""
  2: string health_path = ""
  // Connections that one endpoint accepts from all daemons together.
  3: i32 max_connections = 0
  // Requests per second that a cold endpoint tolerates; 0 sets no limit.
  4: double cold_requests_per_s = 0
  // Absent for a plain service.
  5: optional EngineModel engine
}

// A team and the keys of its callers.
struct CallerTeam {
  1: string name = ""
  2: list<string> caller_keys = []
  // Priority that overrides the route's; -1 uses the route's.
  3: i32 priority = -1
}

// Limits on requests of callers.
struct IngressLimits {
  1: i64 max_header_bytes = 65536
  2: i64 max_body_bytes = 16777216
  // Time to receive the headers of a request. @unit seconds
  3: double header_timeout_s = 10
  // Time for which an idle connection is kept open. @unit seconds
  4: double idle_timeout_s = 60
}

// One complete version of the configuration.
struct InstallationConfig {
  1: i64 version = 0
  2: list<Route> routes = []
  3: list<Service> services = []
  4: list<CallerTeam> teams = []
  5: IngressLimits limits
}

// Entry in which an endpoint describes itself.
struct EndpointEntry {
  1: string id = ""
  2: string service_name = ""
  3: string host = ""
  4: i32 port = 0
  5: string zone = ""
  // Requests that the endpoint processes concurrently.
  6: i32 slots = 0
  // The endpoint accepts new requests.
  7: bool ready = 0
  // Time after the entry was written for which the endpoint is cold and tolerates little load. @unit seconds
  8: double cold_s = 0
  // Start of the endpoint's process, which distinguishes its restarts under the same id; 0 if unknown. @unit milliseconds since the epoch
  9: i64 boot_ms = 0
  // Versions of the endpoint's software and models; empty if unknown.
  10: string release = ""
}

// All endpoints at one revision of the store.
struct EndpointList {
  1: i64 revision = 0
  2: list<EndpointEntry> endpoints = []
  // Generation of the store that the revision belongs to; 0 if unknown.
  3: i64 generation = 0
}

// Availability zones that receive no new requests, at one revision of the store.
struct ClosedZones {
  1: i64 revision = 0
  2: list<string> zones = []
  // Generation of the store that the revision belongs to; 0 if unknown.
  3: i64 generation = 0
}
