"""Tests of the decision log, its replay and its commands."""
