"""Tests of the experiments package."""
