// Objects kept in the platform's store and changed by tickets. A trailing underscore avoids a reserved word of the IDL and is dropped.

enum ServiceKind {
  // A model served by engines with streamed completions.
  MODEL = 0
  // An HTTP service whose requests are passed through.
  PLAIN = 1
}

enum FencingSupport {
  // The engine ignores fencing numbers on orders.
  IGNORED = 0
  // The engine refuses an order with an old fencing number.
  CHECKED = 1
}

// Kinds of object that a ticket can change.
enum ObjectKind {
  TEAM = 1
  AVAILABILITY_ZONE = 2
  SERVICE = 3
  ENDPOINT = 4
}

// A customer whose callers share limits.
struct Team {
  // SHA-256 digests of the caller keys, in hexadecimal.
  1: list<string> key_digests = []
  // Sustained tokens per second, prompt and answer; 0 means no limit.
  2: double tokens_per_second = 0
  // Tokens that may be used in a burst above the sustained rate.
  3: double burst_tokens = 0
  // Requests in flight at one time; 0 means no limit.
  4: i32 max_in_flight = 0
  // Share of the fleet relative to other teams when requests queue.
  5: double weight = 1
}

// A failure domain: its instances and endpoints can fail together.
struct AvailabilityZone {
  1: string region = ""
  // Operators have taken the zone out of service.
  2: bool out = false
}

// A model or a plain service that teams may call.
struct Service {
  1: ServiceKind kind = 0
  // Model name in completion requests; empty means the service's own name.
  2: string model = ""
  // Teams that may call the service; empty means every team.
  3: list<string> teams = []
  // Default deadlines by length class, in seconds.
  4: double short_deadline_s = 60
  5: double medium_deadline_s = 300
  6: double long_deadline_s = 1800
  // HTTP methods whose requests are idempotent on a plain service.
  7: list<string> idempotent_methods = ["GET", "HEAD"]
  // An interrupted answer may be continued on another endpoint.
  8: bool allow_continuation = true
  // Attempts allowed for one idempotent request.
  9: i32 max_attempts = 3
  // Path prefixes whose requests are idempotent whatever their method.
  10: list<string> idempotent_paths = []
}

// A back end that runs requests of one service.
struct Endpoint {
  1: string service_ = ""
  2: string zone = ""
  3: string host = ""
  4: i32 port = 0
  // Tokens of prompt and answer that fit in memory.
  5: i64 memory_tokens = 500000
  // Prompt tokens that the endpoint prefills per second.
  6: i64 prefill_tokens_per_second = 20000
  // Maximum concurrent requests of a warm endpoint.
  7: i32 max_running = 64
  // Concurrent requests that a cold endpoint tolerates.
  8: i32 cold_max_running = 2
  // Concurrent prompt tokens that a cold endpoint tolerates.
  9: i64 cold_max_tokens = 20000
  // Successful requests before the endpoint counts as warm.
  10: i32 warm_after = 8
  11: FencingSupport fencing = 0
  // The endpoint is leaving and receives no new work.
  12: bool leaving = false
  // Long prefill tokens allowed at one time, as a share of memory.
  13: double long_share = 0.6
  // Model version that the engine should load; empty leaves it unchanged.
  40: string model_version = ""
  // Role that the engine should have; empty leaves it unchanged.
  41: string role = ""
  // Instance that the endpoint runs on; empty means the endpoint's own name.
  42: string instance = ""
}

// Complete new state of one object within a ticket.
struct Change {
  1: ObjectKind kind = 1
  2: string name = ""
  // The object is removed.
  3: bool deleted = false
  4: optional Team team
  5: optional AvailabilityZone zone
  6: optional Service service_
  7: optional Endpoint endpoint
}

// The newest change of one object and the ticket that made it.
struct VersionedChange {
  1: i64 number = 0
  2: Change change
}

// A numbered change of configuration. A later number supersedes an earlier one.
struct Ticket {
  1: i64 number = 0
  2: string author = ""
  3: string note = ""
  4: list<Change> changes = []
  // Wall-clock time of acceptance, in seconds since the epoch.
  5: double accepted_at = 0
  // Operator whose key authenticated the ticket.
  60: string operator_ = ""
  // Previous state of the ticket's objects in the daemon that accepted it; an object without an entry did not exist.
  61: list<VersionedChange> before = []
}

// Merged state of many tickets.
struct Snapshot {
  1: list<VersionedChange> entries = []
  // Highest number among the included tickets; tickets with a lower number may still arrive.
  2: i64 included_through = 0
}

// One incarnation (process start) of a daemon.
struct Member {
  1: string id = ""
  // Name of the instance that the daemon runs on.
  2: string instance = ""
  3: string zone = ""
  4: string host = ""
  5: i32 port = 0
}

// Agreed membership of one cell.
struct Roster {
  1: i64 epoch = 0
  2: list<Member> members = []
}

enum ClaimState {
  // The key is claimed; the request may have been dispatched.
  CLAIMED = 0
  // The outcome is recorded.
  DONE = 1
  // The request was sent and ended without an answer.
  UNKNOWN = 2
}

// A claim on one idempotency key.
struct Claim {
  // Team and key, hashed.
  1: string key_hash = ""
  // Hash of method, path and body.
  2: string request_hash = ""
  3: string nonce = ""
  4: ClaimState state = 0
  // Wall-clock time after which the claim may be dropped, in seconds since the epoch.
  5: double expires_at = 0
  6: i32 status = 0
  7: string content_type = ""
  // Base64 of the recorded answer.
  8: string body = ""
  // Member that dispatched the request.
  9: string member_id = ""
  // The recorded answer was too large to keep.
  10: bool body_dropped = false
  // Wall-clock time after which the claimant no longer dispatches the request, in seconds since the epoch.
  60: double dispatch_by = 0
  // Wall-clock time by which the request has ended, in seconds since the epoch.
  61: double deadline_at = 0
}

// A group of claims stored as one value.
struct ClaimShard {
  1: list<Claim> claims = []
  // Suffix of the two shards that this shard was split into; empty while it stores its own claims.
  60: string split_into = ""
}

// Initial number of claim shards; equal for all daemons and never changed.
struct ClaimLayout {
  1: i32 shards = 0
}

// The fencing number of orders to one endpoint.
struct FencingRecord {
  1: i64 number = 0
  2: string member_id = ""
}
