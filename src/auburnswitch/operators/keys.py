"""Identifies operators by their keys."""

from __future__ import annotations

import hmac
from typing import Final

DEFAULT_OPERATOR_NAME: Final = "operator"


class OperatorKeys:
    """The keys of a key file, one on each line, as ``name:key``.

    A line without a colon is the key of the default operator name.

    Attributes:
        keys: Key by operator name.
    """

    __slots__ = ("keys",)

    def __init__(self, *, text: bytes) -> None:
        self.keys: dict[str, bytes] = {}
        for line in text.splitlines():
            name, colon, key = line.strip().rpartition(b":")
            if key:
                decoded_name = name.decode("utf-8", "replace").strip()
                self.keys[decoded_name if colon else DEFAULT_OPERATOR_NAME] = (
                    key.strip()
                )

    def find_operator(self, authorization: str) -> str | None:
        """Returns the operator whose bearer key is in the header, if any.

        Every key is compared, so that the duration does not reveal anything
        about the keys.
        """
        scheme, _, bearer_key = authorization.partition(" ")
        operator = None
        for name, key in self.keys.items():
            if hmac.compare_digest(bearer_key.strip().encode(), key):
                operator = name
        return operator if scheme.lower() == "bearer" else None


__all__ = ["DEFAULT_OPERATOR_NAME", "OperatorKeys"]
