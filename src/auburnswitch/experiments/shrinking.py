"""Shrinks a failing list of actions."""

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
    """Removes items greedily, large chunks first, while the list still fails.

    Args:
        items: A list that fails.
        fails: Returns whether a shorter list fails too.
        has_time_left: Returns whether there is time for another attempt.

    Returns:
        The shortest failing list found.
    """
    chunk_size = len(items) // 2
    while chunk_size:
        start = 0
        while start < len(items):
            if not has_time_left():
                return items
            candidate = items[:start] + items[start + chunk_size :]
            if fails(candidate):
                items = candidate
            else:
                start += chunk_size
        chunk_size //= 2
    return items


__all__ = ["shrink"]
