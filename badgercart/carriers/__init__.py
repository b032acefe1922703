"""Whoever carries out a decided attempt and reports how it ended."""
