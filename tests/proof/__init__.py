"""Tests of the promises under failure."""
