"""Identifies the parts of prompts that several requests may share."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

FINGERPRINT_BYTES: Final = 8


def fingerprint_parts(service: str, part_ids: Iterable[str]) -> tuple[str, ...]:
    """Returns a hash of each part that identifies it within its service.

    Ids are chosen by callers and may be long; hashes have a fixed size.
    """
    prefix = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    prefix.update(service.encode() + b"\0")
    fingerprints = []
    for part_id in part_ids:
        digest = prefix.copy()
        digest.update(part_id.encode("latin-1", "replace"))
        fingerprints.append(digest.hexdigest())
    return tuple(fingerprints)


__all__ = ["fingerprint_parts"]
