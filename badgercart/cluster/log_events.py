"""The log events of the cluster package.

Each event has a hybrid timestamp, which orders the events of all nodes. Names, fields and texts are
an interface to operators and must not change.
"""

from __future__ import annotations

import logging

from badgercart.core.log_events import define_event

LISTENING = define_event(
    "peers.listening",
    logging.INFO,
    "peers at %(host)s:%(port)d, as %(name)s of the group %(group)s",
    "The node can be reached by its peers.",
)
MEMBER_CHANGED = define_event(
    "peers.changed",
    logging.INFO,
    "%(peer)s is %(status)s, by the word of %(word)s (incarnation %(incarnation)d)",
    "What the node believes of another has changed. `accuser` is who suspected or buried it first.",
)
QUORUM_CHANGED = define_event(
    "peers.level",
    logging.INFO,
    "in reach %(live)d of %(may_live)d nodes that may live: %(standing)s",
    "How much of its group the node can vouch for. `some` and `alone`: it keeps to an even part "
    "of all that may live, and lends and borrows nothing. Look at the network between the nodes.",
)
NAME_CONFLICT = define_event(
    "peers.conflict",
    logging.ERROR,
    "another process has the name %(name)s; this one %(does)s",
    "Two processes run under one name: stop one, or name it otherwise. The one that began first "
    "stands back from shared work until the other is gone.",
)
PROCESS_PAUSED = define_event(
    "peers.paused",
    logging.WARNING,
    "this process stood still for %(gap_ms)d ms",
    "It was stopped or starved. It buries nobody for its own silence, and counts on nobody until "
    "one has told it what is.",
)
PACKET_REJECTED = define_event(
    "peers.refused",
    logging.WARNING,
    "a packet from %(source)s is refused, %(kind)s: %(words)s",
    "`forged`: of another group or secret; `version`: a node of another version of the protocol; "
    "`stranger`: from outside `allow`; `oversized`, `stray`, `malformed`: none of ours.",
)
ENDPOINT_DRAINED = define_event(
    "peers.drained",
    logging.INFO,
    "%(server)s drains by the word of %(author)s, ahead of our list",
    "Nothing new goes there, until this node's own list is as late as the other's.",
)
VIEW_DISPATCHED = define_event(
    "peers.company",
    logging.DEBUG,
    "%(size)d nodes share the fleet, %(may_live)d may live",
    "What the policy was told of the other nodes.",
)
