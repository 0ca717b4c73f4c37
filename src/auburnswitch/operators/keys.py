"""Operator keys and whose they are."""

from __future__ import annotations

import hmac
from typing import Final

DEFAULT_OPERATOR_NAME: Final = "operator"


class OperatorKeys:
    """The keys of a key file, one on each line, as ``name:key``.

    A line without a colon is a key without a name.

    Attributes:
        keys: Key by operator name.
    """

    __slots__ = ("keys",)

    def __init__(self, *, text: bytes) -> None:
        self.keys: dict[str, bytes] = {}
        for line in text.splitlines():
            name, colon, key = line.strip().rpartition(b":")
            if key:
                given = name.decode("utf-8", "replace").strip()
                self.keys[given if colon else DEFAULT_OPERATOR_NAME] = (
                    key.strip()
                )

    def find_operator(self, authorization: str) -> str | None:
        """Returns the operator whose bearer key a header has, if any.

        Every key is compared, so that the time taken tells nothing.
        """
        scheme, _, given = authorization.partition(" ")
        found = None
        for name, key in self.keys.items():
            if hmac.compare_digest(given.strip().encode(), key):
                found = name
        return found if scheme.lower() == "bearer" else None


__all__ = ["DEFAULT_OPERATOR_NAME", "OperatorKeys"]
