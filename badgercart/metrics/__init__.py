"""Figures for operators by Prometheus's text format; its entry is ``part.PARTS``.

Subsystems register what they can be asked for with `core.meters`; nothing is counted twice, and
nothing is asked between scrapes. Only the ends of requests are counted here, by an observer of the
join.
"""
