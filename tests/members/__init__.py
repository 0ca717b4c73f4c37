"""Tests of the members package."""
