"""Parses the Retry-After header of HTTP responses."""

from __future__ import annotations

import datetime
import email.utils
import math


def parse_retry_after_s(value: str, now: datetime.datetime) -> float:
    """Returns the delay that a Retry-After header asks for, in seconds.

    Args:
        value: A number of seconds or an HTTP date; empty if not given.
        now: The current time, with its time zone.

    Returns:
        The delay; 0 if the header is empty, in the past or unusable.
    """
    try:
        seconds = float(value or 0)
    except ValueError:
        seconds = _seconds_until(value, now)
    return max(0.0, seconds) if math.isfinite(seconds) else 0.0


def _seconds_until(value: str, now: datetime.datetime) -> float:
    date = parse_date(value)
    return 0.0 if date is None else (date - now).total_seconds()


def parse_date(value: str) -> datetime.datetime | None:
    """Returns the time that an HTTP date gives; None if it is unusable."""
    try:
        date = email.utils.parsedate_to_datetime(value)
    except (ValueError, OverflowError):  # the latter for a huge year or offset
        return None
    return date if date.tzinfo else date.replace(tzinfo=datetime.UTC)


__all__ = ["parse_date", "parse_retry_after_s"]
