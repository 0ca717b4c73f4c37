"""Tests of the guarantees under failure."""
