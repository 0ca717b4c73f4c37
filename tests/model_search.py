"""Explicit-state model checker for small models."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable

    State = TypeVar("State", bound=Hashable)


class InvariantViolationError(AssertionError):
    """A reachable state violates an invariant."""


def explore_states(
    initial: State,
    next_states: Callable[[State], Iterable[State]],
    check: Callable[[State], None],
) -> int:
    """Visits all reachable states breadth first and returns their number.

    Args:
        initial: Initial state.
        next_states: Returns the successors of a state.
        check: Raises InvariantViolationError for a state that violates an
            invariant.

    Raises:
        InvariantViolationError: The check failed; the message has the path
            from the failing state back to the initial one.
    """
    predecessors: dict[State, State | None] = {initial: None}
    queue = collections.deque([initial])
    while queue:
        state = queue.popleft()
        try:
            check(state)
        except InvariantViolationError as error:
            raise InvariantViolationError(
                f"{error}: {_path_to(predecessors, state)}"
            ) from None
        for next_state in next_states(state):
            if next_state not in predecessors:
                predecessors[next_state] = state
                queue.append(next_state)
    return len(predecessors)


def _path_to(predecessors: dict[State, State | None], state: State) -> str:
    path = [state]
    while (state := predecessors[state]) is not None:
        path.append(state)
    return " <- ".join(str(state_on_path) for state_on_path in path)
