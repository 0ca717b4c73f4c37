"""Tests of auburnswitch."""
