"""The lab: experiments with a simulated fleet or with load on sockets, and their reports.

`settings` defines experiment files, `model` is the discrete-event simulation around the real
request pipeline and policy, `peers` has other policies to compare with, `sweep` runs many
simulations on all cores, and `report` presents their results. The command is ``python -m lab``;
docs/design/lab.md discusses the alternatives.
"""

# Version of the model. Results of another version are computed again.
__version__ = "1"
