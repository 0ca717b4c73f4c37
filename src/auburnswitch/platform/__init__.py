"""Adapts the entry daemon to the names, formats and calls of the platform.

This package contains no policy. It decodes the platform's data into the types
of ``auburnswitch.schema.installation`` and encodes the entry daemon's calls.
"""

from __future__ import annotations
