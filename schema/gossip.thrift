// Datagrams and calls between entry daemons.

include "installation.thrift"

// A request that a daemon has dispatched to endpoints.
struct WorkItem {
  // Number that the daemon assigned to the request.
  1: i64 id = 0
  // Endpoint that decodes the answer.
  2: string endpoint = ""
  // Endpoints that prefill parts of the prompt (prefill helpers).
  3: list<string> helpers = []
  // Predicted prefill time of each part. @unit milliseconds
  4: double read_ms = 0
  // Memory reserved at the endpoint that decodes. @unit tokens
  5: i64 memory_tokens = 0
  // Longest interval between two events that meets the latency target. @unit milliseconds
  6: double target_gap_ms = 0
  // Predicted time until the request ends. @unit milliseconds
  7: double remaining_ms = 0
  // The prompt has been prefilled and the endpoint decodes.
  8: bool writing = 0
  // Memory reserved at each helper that holds a part of the prompt. @unit tokens
  9: i64 helper_memory_tokens = 0
  // Number of helpers, counted from the first, that hold a part of the prompt.
  10: i32 holders = 0
  // Time left until the answer is due to start. @unit milliseconds
  11: double due_ms = 0
}

// Changes of the configuration between two versions.
struct ConfigChanges {
  1: i64 since_version = 0
  2: i64 version = 0
  // Routes that are new or have changed.
  3: list<installation.Route> changed = []
  // Names of routes that were removed.
  4: list<string> removed = []
  // The new version without its routes.
  5: installation.InstallationConfig rest
}

// Changes of endpoints between two revisions of the store.
struct EndpointChanges {
  // Revision before the changes.
  1: i64 since_revision = 0
  // Revision after the changes.
  2: i64 revision = 0
  3: list<installation.EndpointEntry> changed = []
  // Ids of endpoints whose entries were removed.
  4: list<string> removed = []
  // Generation of the store that the revisions belong to; 0 if unknown.
  5: i64 generation = 0
}

// Difference between the load that an engine reports and the work that daemons have there.
struct EngineReport {
  1: string endpoint = ""
  // Requests on the engine that no daemon has announced.
  2: i32 unknown_requests = 0
  // Ratio of the engine's processing time to its usual processing time.
  3: double slowdown = 1
  // Memory in use that no announced request accounts for. @unit tokens
  4: i64 unknown_tokens = 0
}

// A request whose answer had not got past its beginning when its endpoint crashed.
struct CrashSuspect {
  1: string service_name = ""
  2: string endpoint = ""
  // Start of the endpoint's process that crashed. @unit milliseconds since the epoch
  3: i64 boot_ms = 0
  // Fingerprint of the request.
  4: string request = ""
  // Fingerprints of the shared parts of its prompt.
  5: list<string> parts = []
  // Time since the crash. @unit seconds
  6: double age_s = 0
}

// Prompt parts that crash endpoints: requests with all of them are refused.
struct PartRefusal {
  1: string service_name = ""
  // Fingerprints of the parts.
  2: list<string> parts = []
  // Time since the first of the crashes that decided it. @unit seconds
  3: double evidence_age_s = 0
  // Time since the last crash under these parts. @unit seconds
  4: double last_crash_age_s = 0
  // Number of requests that have been tried since.
  5: i32 trials = 0
  // Releases of the service's endpoints under which the parts crashed them.
  6: list<string> releases = []
  // The decision is final; until then each daemon may object.
  7: bool confirmed = 0
  // Time of day to which the ages refer; 0 in messages. @unit milliseconds since the epoch
  8: i64 stored_at_ms = 0
}

// A request that crashes endpoints and is refused, as kept in the store.
struct RequestRefusal {
  // Fingerprint of the request.
  1: string request = ""
  // The crashes, each by its endpoint and the start of its process.
  2: list<string> crashes = []
  // Time of day at which it was written. @unit milliseconds since the epoch
  3: i64 stored_at_ms = 0
}

// A prompt part in an answer that has got past its beginning.
struct PartStart {
  // Fingerprint of the part.
  1: string part = ""
  // Time since then. @unit seconds
  2: double age_s = 0
}

// State that a daemon publishes to each peer when its work changes, and periodically.
struct Gossip {
  // Instance of the sender.
  1: string sender = ""
  // Start of the sender's process. @unit milliseconds since the epoch
  2: i64 incarnation = 0
  3: i64 sequence = 0
  4: string host = ""
  5: i32 port = 0
  6: string zone = ""
  // Versions of the sender's copies of the store's objects.
  7: i64 config_version = 0
  8: i64 endpoints_revision = 0
  9: i64 closed_zones_revision = 0
  // Age of the newest read of the store known to the sender; negative if none is known. @unit milliseconds
  10: double store_read_age_ms = -1
  // The sender is stopping and takes on no duties for its peers.
  11: bool stopping = 0
  // The items are the sender's full list, not only the changed ones.
  12: bool complete = 0
  13: list<WorkItem> items = []
  // Numbers of items that have ended.
  14: list<i64> ended = []
  // Endpoints at which requests of the sender failed, as evidence for its peers.
  15: list<string> failed_endpoints = []
  // Crashes of endpoints, each as the fingerprint of a request in flight at the
  // crash and the endpoint; without an endpoint, a request that has succeeded
  // since.
  16: list<string> crash_strikes = []
  // Changes of endpoints that the sender has just read from the store.
  17: optional EndpointChanges changes
  // New reports on the engines that the sender monitors.
  18: list<EngineReport> reports = []
  // The sender is a store reader or a relay, and sends heartbeats more often.
  19: bool leading = 0
  // The message is sent through a relay; relayed messages are numbered in a separate sequence.
  20: bool relayed = 0
  21: double link_mbps = 0
  // Change of the configuration that the sender has just read from the store.
  22: optional ConfigChanges config_changes
  // Number of the cell whose daemons receive the message; negative for all daemons.
  23: i32 cell = -1
  // Requests at crashes that the sender has just observed.
  24: list<CrashSuspect> crash_suspects = []
  // Refusals in force at the sender, in heartbeats, or that it has just found.
  25: list<PartRefusal> part_refusals = []
  // Parts of refusals that the sender knows to be sound.
  26: list<PartStart> part_starts = []
  // Newest generation of the store known to the sender; 0 if unknown, as for the following.
  27: i64 store_generation = 0
  // Generations that the sender's revisions belong to.
  28: i64 endpoints_generation = 0
  29: i64 closed_zones_generation = 0
}

// One datagram.
struct GossipFrame {
  1: list<Gossip> messages = []
  // The receiver forwards each message to the daemons of its cell in the receiver's zone.
  2: bool relay = 0
}

// Requests the state that a peer has in a newer version than the sender.
struct StateFetch {
  1: i64 config_version = 0
  2: i64 endpoints_revision = 0
  3: i64 closed_zones_revision = 0
  4: i64 endpoints_generation = 0
  5: i64 closed_zones_generation = 0
}

// State that a peer has in a newer version than the requester.
struct StateUpdate {
  1: optional installation.InstallationConfig config
  2: optional installation.EndpointList endpoints
  3: optional installation.ClosedZones closed_zones
}

// Record of an entry daemon in the store.
struct DaemonRecord {
  1: string instance = ""
  2: string zone = ""
  3: string host = ""
  4: i32 port = 0
  // Bandwidth of the network link of the daemon's instance. @unit Mbit/s
  5: double link_mbps = 0
}
