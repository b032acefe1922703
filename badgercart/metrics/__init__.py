"""Metrics for operators by Prometheus's text format; the entry is `component.py`.

Subsystems register what can be read in `core.metric_registry`, and it is read once per scrape. Only
the ends of requests are counted here, by an observer of the request pipeline.
"""
