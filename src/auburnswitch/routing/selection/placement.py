"""Describes the endpoints chosen for one attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from auburnswitch.configuration.tracked_endpoint import TrackedEndpoint
    from auburnswitch.schema.gossip import WorkItem
    from auburnswitch.schema.installation import EndpointEntry

MAX_PLACEMENT_WAIT_SHARE: Final = 0.12  # of the target latency


@dataclass(slots=True, kw_only=True)
class Placement:
    """Endpoints chosen for one attempt.

    Attributes:
        endpoint: Endpoint that receives the request.
        helpers: Endpoints that prefill parts of the prompt.
        item: The work as published to peers.
        first_token_s: Predicted time to the first token, in seconds.
        duration_s: Predicted time to the end of the answer, in seconds.
        late: Whether the first token is predicted to miss its target latency.
        delays_others: Whether the request would make other answers late.
        started: Whether its work has been added to the load.
        sent_to: Entry of the endpoint before its connection was opened, which
            names the process that receives the request as far as is known.
    """

    endpoint: TrackedEndpoint
    helpers: list[TrackedEndpoint]
    item: WorkItem
    first_token_s: float
    duration_s: float
    late: bool = False
    delays_others: bool = False
    started: bool = False
    sent_to: EndpointEntry | None = None

    def engines(self) -> list[TrackedEndpoint]:
        """Returns all endpoints of the placement."""
        return [self.endpoint, *self.helpers]

    def holders(self) -> list[TrackedEndpoint]:
        """Returns the helpers that hold a part of the prompt's KV cache."""
        return self.helpers[: self.item.holders]


__all__ = ["MAX_PLACEMENT_WAIT_SHARE", "Placement"]
