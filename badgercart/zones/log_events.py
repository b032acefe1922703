"""The log events of zone failover.

Each event has a hybrid timestamp, which orders the events of all nodes. Names, fields and texts are
an interface to operators and must not change.
"""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

PLAN_IN_FORCE = define_event(
    "zones.plan",
    logging.INFO,
    "plan %(epoch)d of %(proposer)s is in force: %(why)s",
    "From now on this node sends by this plan. `plan` tells it from others, `until_ms` is how long "
    "its lease runs if it is not renewed.",
)
PLAN_ENDED = define_event(
    "zones.lapsed",
    logging.INFO,
    "plan %(epoch)d holds no longer: %(why)s",
    "No plan is in force here: the node serves near, by its own eyes, and sends its part of the "
    "blind allowance to other zones. Look at `peers.level`: more than half of the nodes have to be "
    "in reach.",
)
PROPOSAL_FAILED = define_event(
    "zones.outdone",
    logging.INFO,
    "our proposal %(epoch)d came to nothing",
    "Another node proposes, or too few have taken it in time.",
)
REACHABILITY_CHANGED = define_event(
    "zones.seen",
    logging.INFO,
    "%(zone)s is %(verdict)s to this node",
    "What this node sees of a zone's servers by its own attempts and probes: `fine`, `dark`, "
    "`unknown`.",
)
BREAKER_CHANGED = define_event(
    "zones.gate",
    logging.INFO,
    "%(zone)s is %(state)s, by what all nodes see",
    "`shut`: nobody reaches it. `returning`: it has been well for its hold of `hold_s` s and gets "
    "more step by step. A hold that grows is that of a zone which fails again and again.",
)
OVERRIDE_RECORDED = define_event(
    "zones.ordered",
    logging.INFO,
    "%(by)s: %(what)s %(zone)s until %(until)s",
    "An operator's word about a zone, as every node took it.",
)
PLAN_BUDGET_EXHAUSTED = define_event(
    "zones.short",
    logging.WARNING,
    "too many plans this minute: the one in force stays",
    "Zones come and go faster than `plans_per_minute` allows. Zones are still shut, but none comes "
    "back before there is room for another plan. Pin or drain the one that flaps.",
)
FOREIGN_TOPOLOGY = define_event(
    "zones.other_map",
    logging.WARNING,
    "other nodes have another geography: %(count)d of their claims were passed over",
    "The files differ in zones, regions, distances or bound classes: only nodes of one geography "
    "agree on a plan. Bring the files in line; until then the smaller part goes by no plan.",
)
