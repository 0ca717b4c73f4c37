// Messages between daemons.
include "objects.thrift"
include "results.thrift"

enum LengthClass {
  SHORT = 0
  MEDIUM = 1
  LONG = 2
}

enum EndpointPhase {
  // The endpoint has not been observed yet.
  UNKNOWN = 0
  // The endpoint has just started and tolerates little load.
  COLD = 1
  // The load limit rises with each success.
  WARMING = 2
  WARM = 3
  // No new work; running work finishes.
  LEAVING = 4
  // The availability zone is out of service.
  OUT = 5
  // The endpoint does not respond.
  DOWN = 6
}

// First frame of each side of a peer connection.
struct Hello {
  1: string member_id = ""
  2: string nonce = ""
  3: i32 protocol_version = 1
}

// State that an owner publishes to peers about one of its endpoints.
struct EndpointHint {
  1: string endpoint = ""
  2: EndpointPhase phase = 0
  3: i64 free_tokens = 0
  // Predicted wait of a new short request, in seconds.
  4: double short_wait_s = 0
  // Predicted wait of a new long request, in seconds.
  5: double long_wait_s = 0
  6: i32 running = 0
  7: i32 max_running = 0
  // Identifies one start of the endpoint.
  8: string boot_id = ""
  // Prompt tokens still to be prefilled, from the endpoint's last load report.
  50: i64 reported_prefill_tokens = 0
  // Requests that succeeded since the endpoint was cold.
  40: i32 successes = 0
  // Concurrent requests allowed while the endpoint is warming.
  41: i32 window = 0
}

// Reservation of a daemon on an endpoint, with its request.
struct RunningWork {
  1: string endpoint = ""
  2: string reservation_id = ""
  3: i64 tokens = 0
  // Prompt tokens not yet prefilled.
  4: i64 prefill_tokens = 0
  5: LengthClass length_class = 0
  6: string team = ""
  7: string fingerprint = ""
  // Prompt tokens, prefilled or not.
  40: i64 prompt_tokens = 0
  41: string request_id = ""
  // Number of the attempt that was dispatched; 0 before the dispatch.
  42: i32 attempt = 0
}

// A request that was in flight when an endpoint crashed.
struct Strike {
  1: string fingerprint = ""
  2: string endpoint = ""
  3: string boot_id = ""
  // Seconds since the crash.
  4: double age_s = 0
  // The request has since run to completion.
  20: bool cleared = false
}

// Tokens used and requests in flight by one team at one daemon.
struct TeamUsage {
  1: string team = ""
  // Recent average of tokens per second.
  2: double tokens_per_second = 0
  3: i32 in_flight = 0
  // Tokens admitted since the last heartbeat to the receiver.
  50: i64 tokens = 0
}

struct Heartbeat {
  1: objects.Member sender
  2: i64 epoch = 0
  // Time of the sender's clock, echoed in the acknowledgement, in seconds.
  3: double sent_at = 0
  4: list<EndpointHint> hints = []
  // Reservations of the sender on endpoints that the receiver owns.
  5: list<RunningWork> running = []
  // Digest of the sender's configuration state.
  6: string state_digest = ""
  7: bool leaving = false
  8: list<Strike> strikes = []
  9: list<TeamUsage> usage = []
  // Members that the sender has recently received messages from.
  10: list<string> heard = []
  // Seconds since the sender last read the platform's store.
  11: double store_age_s = 0
  // Endpoints that are leaving according to the platform's instance list.
  40: list<string> leaving_endpoints = []
  // Whether the sender has recently read the instance list.
  41: bool reads_instances = false
  // Former incarnations of the sender, which have terminated.
  30: list<string> former_ids = []
  // Quorum set of the sender, if it differs from the roster.
  31: list<string> quorum_ids = []
}

struct HeartbeatAck {
  1: string member_id = ""
  2: i64 epoch = 0
  3: double sent_at = 0
  4: string state_digest = ""
  5: bool leaving = false
}

// Requests a reservation of capacity from the owner of an endpoint.
struct ReserveRequest {
  1: string endpoint = ""
  2: string request_id = ""
  3: i32 attempt = 0
  4: string team = ""
  5: i64 prompt_tokens = 0
  6: i64 answer_tokens = 0
  7: i64 cached_tokens = 0
  8: LengthClass length_class = 0
  // Time left until the deadline, in seconds; 0 if no deadline is known.
  9: double time_left_s = 0
  10: string fingerprint = ""
  // The request was in flight when an endpoint crashed.
  11: bool struck = false
  12: double team_weight = 1
  13: i64 epoch = 0
  // Longest time that the requester waits in the owner's queue, in seconds.
  14: double max_wait_s = 0
  // Longest predicted wait that the requester accepts, in seconds; 0 accepts any.
  50: double max_start_wait_s = 0
  // Time that the request has waited at other owners, in seconds.
  51: double waited_s = 0
  // Service of the endpoint.
  52: string service_ = ""
  // The reservation is part of a group and is kept until it is released; only on an endpoint that is not cold.
  40: bool hold = false
}

struct ReserveReply {
  1: results.ResultCode code = 0
  2: string reservation_id = ""
  // Seconds after which the caller should retry.
  3: double retry_after_s = 0
  // Endpoints that have more free capacity as far as the owner knows.
  4: list<string> alternatives = []
  5: string boot_id = ""
  // Seconds from the arrival of the reservation request to its grant.
  40: double waited_s = 0
  // Hints on the owner's endpoints of the service, best first.
  50: list<EndpointHint> hints = []
}

// Ends a reservation, used or not.
struct ReleaseRequest {
  1: string endpoint = ""
  2: string reservation_id = ""
  3: bool used = false
  4: bool succeeded = false
  // Seconds from dispatch to first token; 0 if there was none.
  5: double first_token_s = 0
  // The endpoint refused the connection or dropped it.
  6: bool endpoint_lost = false
  // The endpoint may still run the attempt.
  40: bool may_still_run = false
}

// The prompt has been prefilled.
struct ProgressRequest {
  1: string endpoint = ""
  2: string reservation_id = ""
  // Seconds from dispatch to first token.
  40: double first_token_s = 0
}

struct Done {
  1: results.ResultCode code = 0
}

// Requests a peer's configuration state.
struct StateRequest {
  1: string state_digest = ""
}

struct StateReply {
  1: objects.Snapshot snapshot
  2: optional objects.Roster roster
  // Daemons that the peer receives messages from, so that new daemons discover each other.
  30: list<objects.Member> heard_members = []
}

// A leaving owner releases its ownership leases on endpoints.
struct HandoverRequest {
  1: string member_id = ""
  2: i64 epoch = 0
  3: list<string> endpoints = []
  // State of each of these endpoints at the sender.
  40: list<EndpointHint> states = []
  // Reservations that the sender has granted on these endpoints.
  41: list<RunningWork> running = []
  // Member that holds each entry of running.
  42: list<string> holders = []
}

enum ClaimAction {
  ADD = 0
  RECORD = 1
}

// Requests a change of a claim shard from the daemon that commits the shard.
struct KeyClaimRequest {
  60: ClaimAction action = 0
  61: objects.Claim claim
}

enum ClaimVerdict {
  // The claim was added, or its outcome recorded.
  DONE = 0
  // Another claim holds the key.
  EXISTS = 1
  // The change was not committed in time.
  UNAVAILABLE = 2
}

struct KeyClaimReply {
  60: ClaimVerdict verdict = 0
  // The claim that holds the key.
  61: optional objects.Claim earlier
  // The change may have taken effect although its commit was not confirmed.
  62: bool written = false
}

// One attempt of a request.
struct AttemptId {
  1: string request_id = ""
  2: i32 attempt = 0
}

// Requests the list of attempts on an endpoint that a member still has.
struct ClaimsRequest {
  1: string endpoint = ""
  2: list<AttemptId> attempts = []
}

struct ClaimsReply {
  // The attempts that the member still has.
  1: list<AttemptId> attempts = []
}

// One frame of a peer connection; exactly one optional field is set.
struct Envelope {
  // Pairs a reply with its call; 0 for messages without a reply.
  1: i64 call_id = 0
  2: bool is_reply = false
  3: optional Heartbeat heartbeat
  4: optional HeartbeatAck heartbeat_ack
  5: optional ReserveRequest reserve
  6: optional ReserveReply reserve_reply
  7: optional ReleaseRequest release
  8: optional ProgressRequest progress
  9: optional StateRequest state_request
  10: optional StateReply state_reply
  11: optional HandoverRequest handover
  12: optional Done done
  13: optional Hello hello
  60: optional KeyClaimRequest key_claim
  61: optional KeyClaimReply key_claim_reply
  40: optional ClaimsRequest claims
  41: optional ClaimsReply claims_reply
}
