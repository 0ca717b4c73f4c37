"""Shortens a failing list of actions."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

ItemT = TypeVar("ItemT")


def shrink(
    items: list[ItemT],
    *,
    fails: Callable[[list[ItemT]], bool],
    has_time_left: Callable[[], bool],
) -> list[ItemT]:
    """Drops items greedily, large chunks first, while the rest still fails.

    Args:
        items: A list that fails.
        fails: Tells whether a shorter list fails too.
        has_time_left: Tells whether there is time for a further try.

    Returns:
        The shortest failing list found.
    """
    size = len(items) // 2
    while size:
        start = 0
        while start < len(items):
            if not has_time_left():
                return items
            shorter = items[:start] + items[start + size :]
            if fails(shorter):
                items = shorter
            else:
                start += size
        size //= 2
    return items


__all__ = ["shrink"]
