"""Tests of the cluster package."""
