// Result codes, each with its statement on whether the request ran.

// Whether an endpoint may have run the request.
enum Ran {
  // No byte of the request reached an endpoint.
  NO = 0
  // The request was sent, and its outcome is not known.
  UNKNOWN = 1
  // An endpoint ran the request, at least in part.
  YES = 2
}

// Numbered results of requests, operator calls and peer calls.
enum ResultCode {
  // The request succeeded. @http 200 @ran yes
  OK = 0
  // The request body is larger than the configured limit. @http 413 @ran no
  BODY_TOO_LARGE = 1001
  // The request body is not valid JSON. @http 400 @ran no
  BAD_JSON = 1002
  // No service has this name or path. @http 404 @ran no
  UNKNOWN_SERVICE = 1003
  // No service serves this model. @http 404 @ran no
  UNKNOWN_MODEL = 1004
  // The caller key is missing or belongs to no team. @http 401 @ran no
  BAD_CALLER_KEY = 1005
  // The deadline header is not a number of seconds within bounds. @http 400 @ran no
  BAD_DEADLINE = 1006
  // The request headers are larger than the configured limit. @http 431 @ran no
  HEADER_TOO_LARGE = 1007
  // A field of the request is missing or has a wrong type or value. @http 400 @ran no
  BAD_FIELD = 1008
  // The team may not use this service. @http 403 @ran no
  TEAM_NOT_ALLOWED = 1009
  // No endpoint, or group of endpoints, of this service can hold the prompt and its answer. @http 422 @ran no
  PROMPT_TOO_LONG = 1010
  // The idempotency key was used before with another request. @http 422 @ran no
  IDEMPOTENCY_KEY_REUSED = 1011
  // The idempotency key is empty, too long or has unprintable characters. @http 400 @ran no
  BAD_IDEMPOTENCY_KEY = 1012
  // The path does not accept this method. @http 405 @ran no
  BAD_METHOD = 1013
  // The team has reached one of its limits. @http 429 @ran no
  TEAM_LIMIT = 2001
  // The request could not start within its deadline. @http 503 @ran no
  QUEUE_FULL = 2002
  // This daemon reaches neither the platform nor enough peers. @http 503 @ran no
  ISOLATED = 2003
  // This daemon is shutting down; another one will serve the request. @http 503 @ran no
  SHUTTING_DOWN = 2004
  // No endpoint of the service can accept work now. @http 503 @ran no
  NO_ENDPOINT = 2005
  // The request crashed endpoints that ran it and is refused. @http 422 @ran unknown
  CRASHING_REQUEST = 2006
  // The platform's store is unavailable, and the request must not run without it. @http 503 @ran no
  STORE_UNAVAILABLE = 2007
  // A request with this idempotency key is in progress. @http 409 @ran unknown
  IN_PROGRESS = 2008
  // This daemon has no configuration yet. @http 503 @ran no
  NOT_READY = 2009
  // The retry budget is spent. @http 503 @ran unknown
  RETRY_BUDGET_SPENT = 2010
  // Every endpoint that could run the request is cold and does not tolerate a prompt of this length yet. @http 503 @ran no
  ENDPOINT_COLD = 2011
  // The deadline passed before the answer was complete. @http 504 @ran unknown
  DEADLINE_EXCEEDED = 3001
  // The endpoint failed while it ran the request. @http 502 @ran unknown
  ENDPOINT_FAILED = 3002
  // The answer stream broke and could not be continued. @http 502 @ran yes
  STREAM_BROKEN = 3003
  // The outcome of a non-idempotent request is not known; it will not be run again. @http 409 @ran unknown
  OUTCOME_UNKNOWN = 3004
  // The caller closed the connection. @http 499 @ran unknown
  CALLER_GONE = 3005
  // The caller read its answer too slowly. @http 408 @ran yes
  CALLER_TOO_SLOW = 3006
  // The ticket is not valid. @http 400 @ran no
  TICKET_INVALID = 4001
  // Another ticket with this number was accepted before. @http 409 @ran no
  TICKET_CONFLICT = 4002
  // The ticket is larger than one stored value can be. @http 413 @ran no
  TICKET_TOO_LARGE = 4003
  // No ticket has this number. @http 404 @ran no
  TICKET_NOT_FOUND = 4004
  // The operator key is missing or wrong. @http 401 @ran no
  BAD_OPERATOR_KEY = 4005
  // A peer frame carries a wrong signature. @http 401 @ran no
  BAD_SIGNATURE = 5001
  // A peer frame has a wrong length or cannot be decoded. @http 400 @ran no
  BAD_FRAME = 5002
  // The peer does not own the endpoint. @http 409 @ran no
  NOT_OWNER = 5003
  // The owner may not grant work on a cold endpoint yet. @http 503 @ran no
  OWNERSHIP_PENDING = 5004
  // The peer did not answer in time. @http 504 @ran no
  PEER_UNREACHABLE = 5005
  // The settings are not valid. @http 500 @ran no
  BAD_SETTINGS = 6001
  // A listener address is in use or cannot be bound. @http 500 @ran no
  ADDRESS_UNAVAILABLE = 6002
  // An unexpected error occurred in the daemon. @http 500 @ran unknown
  INTERNAL = 9001
}
