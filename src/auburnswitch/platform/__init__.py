"""Adapter to the users' platform: its names, formats and calls.

This package contains no policy. It decodes the platform's data into the types
of ``auburnswitch.schema.installation`` and encodes the entry daemon's calls.
"""

from __future__ import annotations
