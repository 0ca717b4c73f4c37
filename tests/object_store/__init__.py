"""Tests of the object_store package."""
