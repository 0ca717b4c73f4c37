"""Visits every reachable state of a small model."""

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
        InvariantViolationError: The check failed; the message gives the
            path to the state.
    """
    predecessors: dict[State, State | None] = {first: None}
    queue = collections.deque([first])
    while queue:
        state = queue.popleft()
        try:
            check(state)
        except InvariantViolationError as error:
            raise InvariantViolationError(
                f"{error}: {_format_path(predecessors, state)}"
            ) from None
        for after in next_states(state):
            if after not in predecessors:
                predecessors[after] = state
                queue.append(after)
    return len(predecessors)


def _format_path(predecessors: dict[State, State | None], state: State) -> str:
    steps = [state]
    while (state := predecessors[state]) is not None:
        steps.append(state)
    return " <- ".join(str(step) for step in steps)
