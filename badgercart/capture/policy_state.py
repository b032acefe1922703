"""A policy's whole state as bytes, and back. No I/O.

State is pickled, since no other form keeps a graph of shared objects and the order of sets exactly. Classes
are written as numbers, fields by position, and the policy's own fields under literal names, so that a rename
in the code reaches no byte. A reader takes only the classes that are named here: a capture can't run code.

States of texts before this form were pickled under the names of classes and fields of their day
(`cottonhall.rules`, ...). They are read still.
"""

from __future__ import annotations

import copyreg
import io
import pickle
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.events import AttemptResult, ClusterView, Request, TrafficPlan, UpdateKind
from badgercart.policy.hash_ring import Level, Ring, Sizes
from badgercart.policy.policy import Health, Job, Policy, Server, Turn
from badgercart.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class StateError(Exception):
    """Bytes that hold no policy's state: what is wrong with them."""


Values = tuple[Any, ...]


# What is made whole at once: its values are there before it.


def _endpoint(item: Endpoint) -> Values:
    return item.id, item.zone, item.kind, item.cell, item.state, item.size, item.started_ms


def _request(item: Request) -> Values:
    return (
        item.id,
        item.class_index,
        item.deadline,
        item.key,
        item.tenant,
        item.expected_work_ms,
        item.is_client_retry,
        item.max_fallbacks,
        item.possibly_executed,
        item.reachable_endpoints,
        item.complete,
    )


def _class(item: RequestClass) -> Values:
    return (
        item.latency_objective_ms,
        item.deadline_ms,
        item.priority_weight,
        item.idempotency,
        item.deduplication_scope,
        item.deduplication_window_ms,
        item.late_value_share,
        item.serialized_by_key,
    )


def _settings(item: Settings) -> Values:
    return (
        item.classes,
        item.zone,
        item.cluster_size,
        item.node_index,
        item.quotas_per_s,
        item.over_quota_weight,
        item.key_affinity,
        item.polls_endpoints,
        item.poll_interval_ms,
        item.tick_ms,
        item.may_cancel,
        item.max_attempts,
        item.max_retry_after_ms,
        item.full_possibly_executed,
        item.key_cooldown_ms,
        item.slow_start_min_capacity,
        item.slow_start_duration_ms,
        item.collapse_load_factor,
        item.collapse_window_ms,
    )


def _known(item: EndpointStatistics) -> Values:
    return (
        item.started_ms,
        item.relative_latency,
        item.recent_attempts,
        item.failure_rates,
        item.consecutive_ejections,
    )


def _company(item: ClusterView) -> Values:
    return item.size, item.node_index, item.possibly_alive, item.quota_shares, item.failure_reports


def _planned(item: TrafficPlan) -> Values:
    return (
        item.shares,
        item.spillover_rates,
        item.lost_zones,
        item.planned_tenants,
        item.zone_strain,
    )


def _health(item: Health) -> Values:
    return item.fails, item.rest_until, item.strikes


def _level(item: Level) -> Values:
    return item.points, item.paced, item.strongest


# The numbers stand in files: a new one is added at the end, none is ever used again.
_MADE: tuple[tuple[type, Callable[[Any], Values]], ...] = (
    (Endpoint, _endpoint),
    (Request, _request),
    (RequestClass, _class),
    (Settings, _settings),
    (EndpointStatistics, _known),
    (ClusterView, _company),
    (TrafficPlan, _planned),
    (Health, _health),
    (Level, _level),
)
_ENUMS: tuple[type, ...] = (
    EndpointState,
    UpdateKind,
    AttemptResult,
    Idempotency,
    DeduplicationScope,
)


# What may hold what holds it: it is made empty, and filled once all is there.


def _save_server(item: Server) -> Values:
    return (
        item.entry,
        item.tokens,
        item.tokens_at,
        item.health,
        item.open,
        item.uploads,
        item.recent,
        item.slow,
    )


def _fill_server(item: Server, values: Values) -> None:
    (
        item.entry,
        item.tokens,
        item.tokens_at,
        item.health,
        item.open,
        item.uploads,
        item.recent,
        item.slow,
    ) = values


def _save_turn(item: Turn) -> Values:
    return item.line, item.out, item.rest_until


def _fill_turn(item: Turn, values: Values) -> None:
    item.line, item.out, item.rest_until = values


def _save_job(item: Job) -> Values:
    return (
        item.request,
        item.terms,
        item.since,
        item.score,
        item.turn,
        item.tries,
        item.out,
        item.maybe_ran,
        item.used,
        item.parked,
    )


def _fill_job(item: Job, values: Values) -> None:
    (
        item.request,
        item.terms,
        item.since,
        item.score,
        item.turn,
        item.tries,
        item.out,
        item.maybe_ran,
        item.used,
        item.parked,
    ) = values


def _save_ring(item: Ring) -> Values:
    return item.blocks, item.firsts


def _fill_ring(item: Ring, values: Values) -> None:
    item.blocks, item.firsts = values


def _save_sizes(item: Sizes) -> Values:
    return item.order, item.total, item.changes, item.scale, item.level


def _fill_sizes(item: Sizes, values: Values) -> None:
    item.order, item.total, item.changes, item.scale, item.level = values


def stored_values(policy: Policy) -> dict[str, Any]:
    """Everything but the actions of the last event, by stored names."""
    return {
        "random": policy.random,
        "servers": policy.servers,
        "ready": policy.ready,
        "marks": policy.marks,
        "cold": policy.cold,
        "sizes": policy.sizes,
        "placed": policy.placed,
        "noted": policy.noted,
        "groups": policy.groups,
        "start": policy.start,
        "span": policy.span,
        "ours": policy.ours,
        "ring": policy.ring,
        "points": policy.points,
        "unplaced": policy.unplaced,
        "rested": policy.rested,
        "touched": policy.touched,
        "known": policy.known,
        "jobs": policy.jobs,
        "streams": policy.streams,
        "usual": policy.usual,
        "offered": policy.offered,
        "bands": policy.bands,
        "buckets": policy.buckets,
        "key_counts": policy.key_counts,
        "keys_total": policy.keys_total,
        "total_recent": policy.total_recent,
        "failed": policy.failed,
        "seen": policy.seen,
        "no_link": policy.no_link,
        "errors": policy.errors,
        "flying": policy.flying,
        "in_flight": policy.in_flight,
        "need": policy.need,
        "sent": policy.sent,
        "sending": policy.sending,
        "met": policy.met,
        "age": policy.age,
        "rate": policy.rate,
        "best_rate": policy.best_rate,
        "mean": policy.mean,
        "least": policy.least,
        "answers": policy.answers,
        "carried": policy.carried,
        "x": policy.x,
        "cut": policy.cut,
        "shedding": policy.shedding,
        "upkeep_at": policy.upkeep_at,
        "halved_at": policy.halved_at,
        "now": policy.now,
        "leaked": policy.leaked,
        "kinds": policy.kinds,
        "works": policy.works,
        "warm": policy.warm,
        "slots": policy.slots,
        "strongest": policy.strongest,
        "mean_strength": policy.mean_strength,
        "ask_backoff": policy.ask_backoff,
        "turns": policy.turns,
        "moved": policy.moved,
        "company": policy.company,
        "plan": policy.plan,
        "zones": policy.zones,
        "inside": policy.inside,
        "zones_old": policy.zones_old,
        "focus": policy.focus,
        "spilt": policy.spilt,
        "settings": policy.settings,
        "pace": policy.pace,
        "worths": policy.worths,
        "never_ran": policy.never_ran,
        "group": policy.group,
        "divisors": policy.divisors,
    }


def _policy(values: dict[str, Any]) -> Policy:
    """What a state of an older text lacks is as a new policy has it."""
    policy = Policy(values["settings"], 0)
    values = stored_values(policy) | values
    policy.random = values["random"]
    policy.servers = values["servers"]
    policy.ready = values["ready"]
    policy.marks = values["marks"]
    policy.cold = values["cold"]
    policy.sizes = values["sizes"]
    policy.placed = values["placed"]
    policy.noted = values["noted"]
    policy.groups = values["groups"]
    policy.start = values["start"]
    policy.span = values["span"]
    policy.ours = values["ours"]
    policy.ring = values["ring"]
    policy.points = values["points"]
    policy.unplaced = OrderedDict(values["unplaced"])
    policy.rested = values["rested"]
    policy.touched = values["touched"]
    policy.known = values["known"]
    policy.jobs = values["jobs"]
    policy.streams = values["streams"]
    policy.usual = values["usual"]
    policy.offered = values["offered"]
    policy.bands = values["bands"]
    policy.buckets = values["buckets"]
    policy.key_counts = values["key_counts"]
    policy.keys_total = values["keys_total"]
    policy.total_recent = values["total_recent"]
    policy.failed = values["failed"]
    policy.seen = values["seen"]
    policy.no_link = values["no_link"]
    policy.errors = values["errors"]
    policy.flying = values["flying"]
    policy.in_flight = values["in_flight"]
    policy.need = values["need"]
    policy.sent = values["sent"]
    policy.sending = values["sending"]
    policy.met = values["met"]
    policy.age = values["age"]
    policy.rate = values["rate"]
    policy.best_rate = values["best_rate"]
    policy.mean = values["mean"]
    policy.least = values["least"]
    policy.answers = values["answers"]
    policy.carried = values["carried"]
    policy.x = values["x"]
    policy.cut = values["cut"]
    policy.shedding = values["shedding"]
    policy.upkeep_at = values["upkeep_at"]
    policy.halved_at = values["halved_at"]
    policy.now = values["now"]
    policy.leaked = values["leaked"]
    policy.kinds = values["kinds"]
    policy.works = values["works"]
    policy.warm = values["warm"]
    policy.slots = values["slots"]
    policy.strongest = values["strongest"]
    policy.mean_strength = values["mean_strength"]
    policy.ask_backoff = values["ask_backoff"]
    policy.turns = values["turns"]
    policy.moved = values["moved"]
    policy.company = values["company"]
    policy.plan = values["plan"]
    policy.zones = values["zones"]
    policy.inside = values["inside"]
    policy.zones_old = values["zones_old"]
    policy.focus = values["focus"]
    policy.spilt = values["spilt"]
    policy.settings = values["settings"]
    policy.pace = values["pace"]
    policy.worths = values["worths"]
    policy.never_ran = values["never_ran"]
    policy.group = values["group"]
    policy.divisors = values["divisors"]
    policy.out = []
    return policy


_FILLED: tuple[tuple[type, Callable[[Any], Any], Callable[[Any, Any], None]], ...] = (
    (Server, _save_server, _fill_server),
    (Turn, _save_turn, _fill_turn),
    (Job, _save_job, _fill_job),
    (Ring, _save_ring, _fill_ring),
    (Sizes, _save_sizes, _fill_sizes),
)


def _make(number: int, *values: Any) -> Any:
    return _MADE[number][0](*values)


def _member(number: int, value: Any) -> Any:
    return _ENUMS[number](value)


def _new(number: int) -> Any:
    kind: Any = _FILLED[number][0]
    return kind.__new__(kind)


def _fill(item: Any, state: tuple[int, Any]) -> None:
    number, values = state
    _FILLED[number][2](item, values)


# Numbers in place of the functions' names, of the range that pickle leaves to programs.
for _code, _function in ((240, _make), (241, _member), (242, _new), (243, _fill)):
    copyreg.add_extension(__name__, _function.__name__, _code)


Reducer = Callable[[Any], Any]


def _reduce_made(number: int, save: Callable[[Any], Values]) -> Reducer:
    return lambda item: (_make, (number, *save(item)))


def _reduce_member(number: int) -> Reducer:
    return lambda item: (_member, (number, item.value))


def _reduce_filled(number: int, save: Callable[[Any], Values]) -> Reducer:
    return lambda item: (_new, (number,), (number, save(item)), None, None, _fill)


def _reducers() -> dict[type, Reducer]:
    found = {kind: _reduce_made(number, save) for number, (kind, save) in enumerate(_MADE)}
    found |= {kind: _reduce_member(number) for number, kind in enumerate(_ENUMS)}
    return found | {
        kind: _reduce_filled(number, save) for number, (kind, save, _) in enumerate(_FILLED)
    }


class _Writer(pickle.Pickler):
    dispatch_table = copyreg.dispatch_table | _reducers()


def dump(policy: Policy) -> bytes:
    """The whole state of a policy."""
    return dump_values(stored_values(policy))


def dump_values(values: dict[str, Any]) -> bytes:
    out = io.BytesIO()
    _Writer(out, protocol=5).dump(values)
    return out.getvalue()


_ALLOWED = {
    ("builtins", "set"),
    ("builtins", "frozenset"),
    ("collections", "deque"),
    ("collections", "OrderedDict"),
    ("random", "Random"),
    ("copyreg", "_reconstructor"),
    ("builtins", "object"),
}
_OURS = {(__name__, function.__name__): function for function in (_make, _member, _new, _fill)}
_NAMED_ENUMS = {
    "State": EndpointState,
    "ListKind": UpdateKind,
    "Result": AttemptResult,
    "Effect": Idempotency,
    "Group": DeduplicationScope,
}


# The modules that states of earlier texts name.
_EARLIER_MODULES = ("cottonhall.rules", "cottonhall.fleet", "cottonhall.interface")


class _Named:
    """An object of a state that was pickled by names: its values, until all are there."""

    name = ""
    values: Any = ()

    def __setstate__(self, state: Any) -> None:
        self.values = state[1] if isinstance(state, tuple) else state


class _Reader(pickle.Unpickler):
    def find_class(self, module: str, name: str) -> Any:
        if (module, name) in _OURS:
            return _OURS[module, name]
        if module in _EARLIER_MODULES and "." not in name:
            return _NAMED_ENUMS.get(name) or type(name, (_Named,), {"name": name})
        if (module, name) in _ALLOWED:
            return super().find_class(module, name)
        raise StateError(f"a state can't hold {module}.{name}")


def load(state: bytes) -> Policy:
    """Raises StateError."""
    try:
        found = _Reader(io.BytesIO(state)).load()
        if isinstance(found, _Named) and found.name == "Policy":
            return _Old().policy(found)
        if isinstance(found, dict):
            return _policy(found)
    except StateError:
        raise
    except Exception as error:  # a broken pickle raises nearly anything
        raise StateError(f"no state: {type(error).__name__}: {error}") from None
    raise StateError("the state is no policy's")


class _Old:
    """Turns a state that was pickled by names into the objects of today."""

    def __init__(self) -> None:
        self.jobs: dict[int, Job] = {}
        self.turns: dict[int, Turn] = {}

    def policy(self, named: _Named) -> Policy:
        values: dict[str, Any] = dict(named.values)
        values["settings"] = self.settings(values["settings"])
        values["servers"] = {
            number: self.server(item) for number, item in values["servers"].items()
        }
        values["placed"] = {
            number: Endpoint(*item.values) for number, item in values["placed"].items()
        }
        values["known"] = {
            number: EndpointStatistics(*item.values) for number, item in values["known"].items()
        }
        values["jobs"] = {number: self.job(item) for number, item in values["jobs"].items()}
        values["streams"] = {place: self.job(item) for place, item in values["streams"].items()}
        values["turns"] = {key: self.turn(item) for key, item in values["turns"].items()}
        values["moved"] = [self.turn(item) for item in values["moved"]]
        values["sizes"] = {kind: self.sizes(item) for kind, item in values["sizes"].items()}
        values["ring"] = self.ring(values["ring"])
        for name in ("company", "group"):
            if values[name] is not None:
                values[name] = ClusterView(
                    *_in_order(values[name], "size", "me", "may_live", "parts", "hearsay")
                )
        if values["plan"] is not None:
            values["plan"] = TrafficPlan(
                *_in_order(values["plan"], "shares", "spill", "lost", "bound", "strain")
            )
        return _policy(values)

    def settings(self, named: _Named) -> Settings:
        classes, *values = named.values
        return Settings(tuple(RequestClass(*item.values) for item in classes), *values)

    def server(self, named: _Named) -> Server:
        entry, tokens, tokens_at, health, attempts, uploads, recent, slow = _in_order(
            named, "entry", "tokens", "tokens_at", "health", "open", "uploads", "recent", "slow"
        )
        healths = [Health(*_in_order(item, "fails", "rest_until", "strikes")) for item in health]
        out = {place: (self.job(item), overdue) for place, (item, overdue) in attempts.items()}
        coming = {place: self.job(item) for place, item in uploads.items()}
        return Server(
            Endpoint(*entry.values), tokens, tokens_at, healths, out, coming, recent, slow
        )

    def job(self, named: _Named) -> Job:
        if (made := self.jobs.get(id(named))) is not None:
            return made
        request, terms, since, score, turn, tries, out, maybe_ran, used, parked = _in_order(
            named,
            "request",
            "terms",
            "since",
            "score",
            "turn",
            "tries",
            "out",
            "maybe_ran",
            "used",
            "parked",
        )
        made = self.jobs[id(named)] = Job(
            Request(
                *_in_order(
                    request,
                    "id",
                    "cls",
                    "due",
                    "key",
                    "tenant",
                    "hint",
                    "repeat",
                    "fallbacks",
                    "resumed",
                    "among",
                    "whole",
                )
            ),
            RequestClass(*terms.values),
            since,
            score,
        )
        ran = {
            number: (sent, Endpoint(*entry.values)) for number, (sent, entry) in maybe_ran.items()
        }
        queue = None if turn is None else self.turn(turn)
        _fill_job(
            made, (made.request, made.terms, since, score, queue, tries, out, ran, used, parked)
        )
        return made

    def turn(self, named: _Named) -> Turn:
        if (made := self.turns.get(id(named))) is not None:
            return made
        made = self.turns[id(named)] = Turn()
        line, out, rest_until = _in_order(named, "line", "out", "rest_until")
        _fill_turn(made, ([self.job(item) for item in line], out, rest_until))
        return made

    def ring(self, named: _Named) -> Ring:
        made = Ring()
        _fill_ring(made, _in_order(named, "blocks", "firsts"))
        return made

    def sizes(self, named: _Named) -> Sizes:
        order, total, changes, scale, level = _in_order(
            named, "order", "total", "changes", "scale", "level"
        )
        made = Sizes()
        _fill_sizes(
            made, (order, total, changes, scale, None if level is None else Level(*level.values))
        )
        return made


def _in_order(named: _Named, *names: str) -> Values:
    return tuple(named.values[name] for name in names)
