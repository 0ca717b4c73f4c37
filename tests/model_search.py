"""Visits every state that a small model can get into."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable

    State = TypeVar("State", bound=Hashable)


class InvariantViolationError(AssertionError):
    """A state was found in which a rule does not hold."""


def explore_states(
    first: State,
    next_states: Callable[[State], Iterable[State]],
    check: Callable[[State], None],
) -> int:
    """Visits all states, breadth first; returns their number.

    Raises:
        InvariantViolationError: The check failed, with the way to the state.
    """
    came_from: dict[State, State | None] = {first: None}
    queue = collections.deque([first])
    while queue:
        state = queue.popleft()
        try:
            check(state)
        except InvariantViolationError as error:
            raise InvariantViolationError(
                f"{error}: {_way(came_from, state)}"
            ) from None
        for after in next_states(state):
            if after not in came_from:
                came_from[after] = state
                queue.append(after)
    return len(came_from)


def _way(came_from: dict[State, State | None], state: State) -> str:
    steps = [state]
    while (state := came_from[state]) is not None:
        steps.append(state)
    return " <- ".join(str(step) for step in steps)
