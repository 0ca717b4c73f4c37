"""Tests of the system's guarantees under failures."""
