"""The admin page at `/_peers`, which the command `badgercart peers` reads.

The JSON keys are an interface to operators and must not change.
"""

from __future__ import annotations

import json
from typing import Any

from badgercart.cluster.event_log import STATUS_WORDS, ClusterEventLog
from badgercart.cluster.member import ClusterMember
from badgercart.cluster.membership_table import MemberState
from badgercart.cluster.packet_gate import PacketGate


def cluster_page(
    now_ms: float, member: ClusterMember, gate: PacketGate, event_log: ClusterEventLog
) -> bytes:
    """Return the page as encoded JSON."""
    protocol, quorum, view = member.protocol, member.protocol.quorum(), member.last_view
    states = sorted(protocol.table.members.values(), key=lambda state: state.record.name)
    page = {
        "name": protocol.local_record.name,
        "level": str(quorum.level),
        "live": len(quorum.reachable),
        "may_live": quorum.possibly_alive,
        "unwell": protocol.context.health.score,
        "stands_back": protocol.yields_name,
        "members": [_member_fields(state, now_ms) for state in states],
        "parts": list(view.quota_shares) if view else [],
        "drained_by_rumour": len(member.drain_gossip.gossiped),
        "refused": dict(gate.rejected),
        "bytes_out": gate.bytes_out,
        "changes": list(event_log.changes),
    }
    return json.dumps(page).encode()


def _member_fields(state: MemberState, now_ms: float) -> dict[str, Any]:
    record = state.record
    host, port = record.address
    return {
        "name": record.name,
        "status": STATUS_WORDS[state.status],
        "address": f"{host}:{port}",
        "zone": record.zone,
        "region": record.region,
        "incarnation": record.incarnation,
        "since_s": round((now_ms - state.since_ms) / 1000, 1),
        "word": state.reporter,
        "accuser": record.accuser,
    }
