"""The lab: a model of the fleet in virtual time, open-loop load on sockets, experiments that end in
a report.

`days` has what an experiment file says, `model` the discrete-event model round the real join and
policy, `peers` other policies to compare with, `sweep` runs many days on all cores, `report` shows
them. Its entry is ``python -m lab``; docs/design/lab.md has the ways weighed.
"""

__version__ = "1"  # of the model: days of another are played anew
