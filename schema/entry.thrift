// Settings of the entry daemon, one struct for each section of the INI file.

// Identity of this daemon.
struct InstanceSettings {
  // Name of the instance the daemon runs on. @required
  1: string name = ""
  // Availability zone of the instance. @required
  2: string zone = ""
  // Bandwidth of the instance's network link. @unit Mbit/s @min 0.1
  3: double link_mbps = 100
}

// Addresses the daemon listens on.
struct ListenSettings {
  // Address for callers, as host:port. @required
  1: string callers = ""
  // Address for the readiness check, as host:port. @required
  2: string readiness = ""
  // IP address at which peers reach the daemon. @required
  3: string peer_host = ""
  // UDP and TCP port for peers. @min 1 @max 65535 @required
  4: i32 peer_port = 0
  // Address that serves the metrics, as host:port; empty disables them.
  5: string metrics = ""
}

// The platform's object store.
struct StoreSettings {
  // Address as host:port. @required
  1: string address = ""
  // Time to wait for the reply of a call, in addition to the wait that the call itself requests. @unit seconds @min 0.05 @max 60
  2: double call_timeout_s = 0.8
  // Longest wait of one watch call. @unit seconds @min 0.1 @max 30
  3: double watch_wait_s = 15
  // Number of daemons that read the store for their peers. @min 1 @max 1000
  4: i32 readers = 3
  // Age of the peers' newest read above which a daemon reads the store itself. @unit seconds @min 0.1 @max 60
  5: double peer_read_max_age_s = 1.5
  // Interval of the calls that check, while a watch waits, that the store answers and that the watch has missed nothing. @unit seconds @min 0.1 @max 30
  6: double probe_interval_s = 2
}

// Limits of the installation that bound the guarantees to callers and operators.
struct BoundSettings {
  // Time within which a stopping daemon must exit. @unit seconds @min 1 @max 600
  1: double stop_grace_s = 8
  // Retries allowed as a share of a service's requests. @min 0 @max 1
  2: double retry_ratio = 0.2
  // Retries that all daemons together may make in one window in addition to that share. @min 0 @max 100000
  3: double retry_extra = 100
  // Length of the retry window. @unit seconds @min 1 @max 600
  4: double retry_window_s = 10
  // Requests per second that a cold endpoint may receive, as a ratio of the rate stated for its service. @min 0.1 @max 100
  5: double cold_ratio = 1
  // Requests per second that a cold endpoint may receive in addition to that ratio. @min 0 @max 1000
  6: double cold_extra = 0
  // Time for which endpoint entries may be missing after the store has recovered. @unit seconds @min 0 @max 60
  7: double lapsed_entry_grace_s = 2
  // Longest time for which memory is reserved at an engine. @unit milliseconds @min 100 @max 600000
  8: double reservation_max_ms = 20000
  // Refuse requests with prompt parts that crash endpoints. If not, such parts are still found, logged and told to peers.
  9: bool refuse_crashing_parts = 1
  // Interval at which endpoints renew their entries. @unit milliseconds @min 10 @max 600000
  10: double endpoint_heartbeat_ms = 1200
}

// Structured logs.
struct EntryLogSettings {
  // Lowest level that is logged. @choices debug,info,warning,error
  1: string level = "info"
  // Maximum lines written per second; further lines are dropped and counted. @min 1 @max 100000
  2: i32 max_lines_per_s = 200
}

// All sections of the settings file.
struct EntrySettings {
  1: InstanceSettings instance
  2: ListenSettings listen
  3: StoreSettings store
  4: BoundSettings bounds
  5: EntryLogSettings log
}
