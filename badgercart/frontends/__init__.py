"""Whoever owes an answer: one package for each way in which requests come."""
