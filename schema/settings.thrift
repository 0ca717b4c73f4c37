// Settings of the daemon, one struct for each section of the INI file.

// Identity of this daemon.
struct DaemonSettings {
  // Name of the instance the daemon runs on. @required
  1: string instance = ""
  // Availability zone of the instance. @required
  2: string zone = ""
  // Seed of the daemon's random number generator; 0 uses a seed from the operating system. @min 0
  3: i64 seed = 0
  // Time within which the daemon exits after a stop signal, cutting off what is left; 0 waits for every request. @unit seconds @min 0 @max 86400
  4: double stop_grace_s = 0
}

// The listener for callers.
struct CallersSettings {
  // IP address to listen on.
  1: string host = "127.0.0.1"
  // TCP port to listen on. @min 0 @max 65535
  2: i32 port = 8080
  // Largest size of a request body. @unit bytes @min 1024 @max 67108864
  3: i64 max_body_bytes = 16777216
  // Largest total size of the request headers. @unit bytes @min 1024 @max 65536
  4: i32 max_header_bytes = 16384
  // Longest deadline that a caller may request. @unit seconds @min 1 @max 86400
  5: double max_deadline_s = 7200
  // Bytes of an answer buffered for a slow caller before the stream is paused. @unit bytes @min 1024 @max 16777216
  6: i64 stream_buffer_bytes = 65536
  // Longest time that a caller may leave its answer unread. @unit seconds @min 1 @max 600
  7: double slow_caller_timeout_s = 30
}

// The listener for operators.
struct OperatorsSettings {
  // IP address to listen on.
  1: string host = "127.0.0.1"
  // TCP port to listen on. @min 0 @max 65535
  2: i32 port = 8081
  // File with the operator keys, one on each line as "name:key"; empty rejects all operator calls except health and metrics. @secret-file
  3: string key_file = ""
}

// The listener for other daemons.
struct PeersSettings {
  // IP address to listen on, at which peers reach the daemon.
  1: string host = "127.0.0.1"
  // TCP port to listen on. @min 0 @max 65535
  2: i32 port = 8082
  // File with the key that authenticates daemons to each other. @secret-file @required
  3: string key_file = ""
  // Largest size of a frame. @unit bytes @min 4096 @max 16777216
  4: i32 max_frame_bytes = 4194304
  // Time to wait for a peer's reply. @unit seconds @min 0.01 @max 60
  5: double call_timeout_s = 1
  // Unsent bytes above which a connection to a peer that does not read is dropped. @unit bytes @min 65536 @max 67108864
  30: i64 max_unsent_bytes = 1048576
  // Maximum calls of one peer in progress; further calls are read when one has ended. @min 16 @max 65536
  31: i32 max_calls = 1024
}

// The platform's object store.
struct PlatformSettings {
  // Base URL of the object API. @required
  1: string url = ""
  // Timeout of one call. @unit seconds @min 0.05 @max 60
  2: double call_timeout_s = 2
  // Longest wait of one watch call. @unit seconds @min 1 @max 300
  3: double watch_timeout_s = 30
  // Calls in flight at one time. @min 1 @max 1000
  4: i32 max_concurrency = 8
  // Maximum reads per second, and maximum writes per second, of this daemon. @unit calls/s @min 0.1 @max 1000
  5: double calls_per_second = 40
  // Largest size of a stored value. @unit bytes @min 1024 @max 16777216
  6: i64 max_value_bytes = 1000000
  // Initial number of shards of the idempotency claims; a number already in the store takes precedence. @min 1 @max 4096
  7: i32 claim_shards = 16
  // Time that an idempotency claim is kept after its request's deadline. @unit seconds @min 1 @max 2592000
  8: double claim_retention_s = 86400
  // Size at which a shard of claims is split into two. @unit bytes @min 1024 @max 1000000
  60: i64 claim_split_bytes = 131072
  // Reads per second that all daemons together may make, waiting watches included. @unit calls/s @min 1 @max 100000
  61: double fleet_reads_per_second = 1500
  // Writes per second that all daemons together may make. @unit calls/s @min 1 @max 100000
  62: double fleet_writes_per_second = 250
}

// Membership of the daemons.
struct MembersSettings {
  // Time between two heartbeats to one peer. @unit seconds @min 0.05 @max 10
  1: double heartbeat_interval_s = 0.5
  // Time without messages after which a peer is excluded from routing. @unit seconds @min 0.1 @max 60
  2: double suspect_after_s = 2
  // Time without messages after which a member is removed from the roster. @unit seconds @min 1 @max 600
  3: double remove_after_s = 10
  // Age up to which acknowledgements of a majority keep ownership leases valid. @unit seconds @min 0.5 @max 60
  4: double strict_lease_s = 3
  // Time after its request within which a reservation must be used. @unit seconds @min 0.1 @max 60
  5: double reservation_ttl_s = 1
  // Time without contact to the platform and to peers after which new work is refused. @unit seconds @min 0.5 @max 60
  6: double isolated_after_s = 3
  // Addresses of daemons to contact when the platform does not respond, as "host:port, host:port".
  7: string seeds = ""
  // Maximum lag of the platform's list of instances. @unit seconds @min 0 @max 600
  30: double instances_lag_s = 10
}

// Length classes, queues and retries.
struct RoutingSettings {
  // Prompts up to this many tokens are short. @unit tokens @min 1
  1: i64 short_max_tokens = 8000
  // Prompts up to this many tokens are medium; larger ones are long. @unit tokens @min 1
  2: i64 medium_max_tokens = 100000
  // Bytes of text counted as one token. @unit bytes @min 1 @max 16
  3: double bytes_per_token = 4
  // Answer tokens assumed when the caller specifies none. @unit tokens @min 1
  4: i32 default_answer_tokens = 256
  // Retries allowed as a share of admitted requests. @min 0 @max 1
  5: double retry_budget_share = 0.1
  // Retries allowed in addition to the share. @min 0 @max 1000
  6: i32 retry_budget_floor = 10
  // Share of each endpoint's memory reserved for short requests. @min 0 @max 0.9
  7: double short_memory_share = 0.1
  // Policy that selects a request's endpoint. @choices owner,two-choices
  8: string policy = "owner"
  // Queueing time after which a long request is as urgent as a short one. @unit seconds @min 1
  9: double aging_s = 60
  // Time for which crash strikes are kept. @unit seconds @min 1
  10: double strike_retention_s = 900
}

// How endpoints are called and observed.
struct EndpointsSettings {
  // Timeout for opening a connection. @unit seconds @min 0.05 @max 60
  1: double connect_timeout_s = 2
  // Time between two load reports of one endpoint. @unit seconds @min 0.1 @max 60
  2: double load_interval_s = 1
  // Idle time after which a stream counts as broken. @unit seconds @min 0.5 @max 600
  3: double stream_idle_timeout_s = 30
  // Consecutive load reports without a reply after which an endpoint counts as down. @min 1 @max 100
  4: i32 down_after_failures = 3
  // Time between two comparisons of an engine's streams and KV caches with what daemons report. @unit seconds @min 0.5 @max 600
  40: double orphan_interval_s = 2
  // Maximum lag of the lists that an engine reports. @unit seconds @min 0 @max 60
  41: double load_lag_s = 1
  // Base URL of the weight store; empty disables admission of model loads.
  42: string weight_store_url = ""
  // Model loads per second that all daemons together may start. @unit loads/s @min 0.001 @max 1000
  43: double weight_loads_per_second = 0.4
  // Multiple of the endpoint's baseline ratio of measured to expected time to first token above which a first token counts as slow. @min 2 @max 1000
  44: double slow_first_token_ratio = 8
  // Time between two reads of the platform's instance list by one daemon. @unit seconds @min 0.2 @max 60
  45: double instances_interval_s = 1
}

// Structured logs.
struct LogSettings {
  // Lowest level that is logged. @choices debug,info,warning,error
  1: string level = "info"
}

// All sections of the settings file.
struct Settings {
  1: DaemonSettings daemon
  2: CallersSettings callers
  3: OperatorsSettings operators
  4: PeersSettings peers
  5: PlatformSettings platform
  6: MembersSettings members
  7: RoutingSettings routing
  8: EndpointsSettings endpoints
  9: LogSettings log
}
