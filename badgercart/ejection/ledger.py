"""Which servers operators have taken out, and what that makes of a line of the server list. No I/O.

Times are Unix time in ms: the set outlives the process. `State` is what is kept, `Ledger` what
decides by it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import EndpointState as Listed

MAX_NAMES = 4096  # servers that were ever listed, as far back as is remembered
MAX_BANS = 1024  # servers that are out at a time


@dataclass(slots=True, frozen=True)
class Freed:
    """A server that was called back: when it was taken out, and when the call back came."""

    banned: float
    freed: float


@dataclass(slots=True)
class State:
    """All that has to be kept."""

    bans: dict[str, float] = field(default_factory=dict)  # since when
    freed: dict[str, Freed] = field(default_factory=dict)
    names: dict[str, None] = field(
        default_factory=dict
    )  # that were ever listed, the longest known first


class Ledger:
    """The set of bans, and the servers' lines as the list last had them."""

    def __init__(self, unix_offset: float) -> None:
        """`unix_offset`: ms from the node's clock, by which lines are told, to Unix time."""
        self.unix_offset = unix_offset
        self.state = State()
        self.lines: dict[str, DiscoveredEndpoint] = {}  # raw
        self.new_names = False  # some came that are not kept yet

    def known(self, name: str) -> bool:
        return name in self.state.names or name in self.lines

    def amend(self, member: DiscoveredEndpoint, version: int = 0) -> DiscoveredEndpoint:
        """What the node is told of a server in place of this line of the list."""
        name, entry = member.name, member.entry
        if entry.state is Listed.GONE:
            self.lines.pop(name, None)
        else:
            self.lines[name] = member
        if name not in self.state.names:
            self.state.names[name] = None
            self.new_names = True
            self.bound()
        if name in self.state.bans:
            if entry.state is Listed.READY:
                return replace(member, entry=replace(entry, state=Listed.DRAINING))
            return member
        if (back := self.state.freed.get(name)) is not None:
            if entry.started_ms and entry.started_ms + self.unix_offset >= back.banned:
                return member  # the list knows of the start that came meanwhile
            return replace(member, entry=replace(entry, started_ms=back.freed - self.unix_offset))
        return member

    def bound(self) -> None:
        names, kept = self.state.names, self.state.bans
        while len(names) > MAX_NAMES:
            oldest = next((n for n in names if n not in kept and n not in self.lines), None)
            if oldest is None:
                return
            del names[oldest]
            self.state.freed.pop(oldest, None)

    def disabled(self, name: str, now: float) -> State:
        """What is to be kept once a server is taken out. Repeated, it changes nothing."""
        bans = {name: now} | self.state.bans
        return State(
            bans, {n: f for n, f in self.state.freed.items() if n != name}, self.state.names
        )

    def enabled(self, name: str, now: float) -> State:
        """What is to be kept once a server is called back: one call ends the ban."""
        bans = dict(self.state.bans)
        since = bans.pop(name, None)
        freed = self.state.freed if since is None else self.state.freed | {name: Freed(since, now)}
        return State(bans, freed, self.state.names)

    def adopt(self, state: State) -> list[DiscoveredEndpoint]:
        """Put another state in force. The raw lines of the servers for which something changes."""
        old, names = self.state, self.state.names
        self.state = State(dict(state.bans), dict(state.freed), dict(state.names))
        for name in names:
            self.state.names.setdefault(name, None)
        self.new_names = len(self.state.names) > len(state.names)
        self.bound()
        return [
            line
            for name, line in self.lines.items()
            if differs(old.bans, state.bans, name) or old.freed.get(name) != state.freed.get(name)
        ]


def differs(old: Mapping[str, float], new: Mapping[str, float], name: str) -> bool:
    return (name in old) is not (name in new)
