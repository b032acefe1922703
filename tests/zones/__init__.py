"""Tests of the zones package."""
