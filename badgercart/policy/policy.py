"""Every decision of the balancer. Settings, events and actions are in the modules of these names.

A request is scored by worth on arrival. Under measured overload x those scored below 100 * x**3 are
refused; the rest go to a random idle-looking server of a small draw, else to the lighter of two.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from badgercart.policy.hash_ring import Level, Ring, Sizes
from badgercart.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    Log,
    Shed,
    Send,
    Subscribe,
    SetTimer,
)
from badgercart.policy.endpoint import EndpointStatistics, Endpoint, EndpointState
from badgercart.policy.events import (
    POSSIBLY_STILL_EXECUTING,
    NOT_EXECUTED,
    ResponseStarted,
    ClusterView,
    AttemptRerouted,
    Event,
    UpdateKind,
    AttemptEnded,
    DeadlineExceeded,
    TrafficPlan,
    Request,
    AttemptResult,
    RetryDecisionDue,
    SettingsChanged,
    EndpointUpdate,
    TimerFired,
    RequestCompleted,
    RequestCancelled,
)
from badgercart.policy.settings import Idempotency, DeduplicationScope, RequestClass, Settings

UPKEEP = 50.0  # ms between refreshes of shares and overload; far below any aim
# ms: where a class wants its answers sooner, jams come and go sooner, and overload is seen sooner
AIM = 400.0
SHARE_HALF = 5000.0  # ms after which counts of offered work and keys are halved
ERRORS_FROM, ERRORS_FULL = (
    0.1,
    0.4,
)  # share of failed attempts where overload begins, and where it is 1
IN_FLIGHT_FROM, IN_FLIGHT_FULL = (
    1.0,
    1.5,
)  # overload begins and is 1 at these multiples of a fleet's need
CROWDED = IN_FLIGHT_FULL  # one server with that multiple of its part is by itself in full overload
BURST_FROM, BURST_FULL = (
    3.0,
    6.0,
)  # the same of attempts open now, for what comes all at once behind a pause
IDLE_FADE, IDLE_NEED = (
    20.0,
    8.0,
)  # what was seen fades so much faster in a full cut on idle servers, if any
ERROR_TIME, REACH = 4000.0, 33.0  # the error share looks back over so many ms and so many attempts
STALE = 100.0  # refusals after which what was seen before them has faded: they add nothing to it
PRIOR = 4.0  # attempts taken as good beside those seen: a few that fail by chance are no overload
RATE_TIME, BEST_TIME = (
    2000.0,
    20000.0,
)  # ms to average the rate of timely answers, and to forget its best
SAMPLE = 60.0  # their mean time reaches back over this many, or over RATE_TIME if that is more
LEAST_TIME = 100000.0  # ms in which the quickest mean time would double: it can follow slower work
QUICK = 1.3  # answers are quick while their mean time is under this multiple of the quickest
MARGIN = 1.5  # how far over the best seen may be tried, while next to nothing fails
SETTLE = 4000.0  # ms to average in-flight over, divided by the need
DRAW = 6  # servers looked at for an idle one
# a server of usual pace counts as idle while what it had and holds of ours weighs under this
IDLE = 1.15
SPREAD = 2.0  # servers that share a key, for each mean server's worth of traffic that it draws
SUSPECT_AT = 0.4  # recent failures of a server, over twice those of all, above which it rests
RING_POINTS = 16  # places of a server on the key ring: evens out the shares
REST = 2000.0  # ms a suspect rests before one trial
MAX_RESTING = (
    0.34  # never rest more servers than this part of our stretch: then the trouble is shared
)
SPARSE = 0.2  # requests a server below which a node's own hold tells too little of the whole fleet
NODES = (
    6  # nodes that then share a stretch: fewer know more of its servers, but its keys are colder
)
FEW = 8  # servers in a stretch at least: enough to tell good from bad
STALL = 4.0  # an attempt open for this multiple of the usual time marks its server as stalled
POINTS_AT_ONCE = (
    2048  # points that are placed on the ring with a list; of more, SLICE go with each event
)
SLICE = 256
# groups above which our stretch is looked through for points, and not the sizes of all servers
SCARCE = 64
HEARSAY = 0.3  # what others find failing counts for no more: less than one rests at
# of what makes a cold server fall, what all nodes send: sizes are rough, and its keys are cold
BUDGET = 0.8
# of a node's part in the time in which a server falls, what may wait for draws; one at least
KEPT = 0.25
SUBSCRIBE = (
    1 << 60
)  # token of the timer that asks for the list; the others' are ids of held requests
MASK = (1 << 64) - 1


def mix(x: int) -> int:
    """Scatter a number over 64 bits; the same at every node."""
    x = (x ^ (x >> 31)) * 0x9E3779B97F4A7C15 & MASK
    x = (x ^ (x >> 29)) * 0xBF58476D1CE4E5B9 & MASK
    return x ^ (x >> 32)


@dataclass(slots=True)
class Health:
    """How a server treats one class."""

    fails: float = 0.0  # recent share of failures
    rest_until: float = 0.0  # not before then; 0: no suspect
    strikes: int = 0  # rests lately


@dataclass(slots=True)
class Server:
    """What this node knows of a server: the list's line and what its own attempts showed."""

    entry: Endpoint
    tokens: float  # while cold: attempts it may get; a random start keeps nodes out of step
    tokens_at: float
    health: list[Health]  # by class
    open: dict[tuple[int, int], tuple[Job, float]] = field(
        default_factory=dict
    )  # until when not overdue
    uploads: dict[tuple[int, int], Job] = field(
        default_factory=dict
    )  # attempts on requests not yet whole
    recent: float = 0.0  # our recent attempts, decayed
    slow: float = 1.0  # its answers' time over the usual for their class and its kind


@dataclass(slots=True, eq=False)
class Turn:
    """The requests of one key that take turns, and what keeps the next of them waiting."""

    line: list[Job] = field(default_factory=list)  # unfinished ones in order of arrival
    out: int = 0  # attempts without an outcome, those of finished requests included
    rest_until: float = 0.0


@dataclass(slots=True, eq=False)
class Job:
    """A request that is owed an answer; its attempts keep it until their outcomes."""

    request: Request
    terms: RequestClass  # of its class as it came: later settings do not change them
    since: float
    score: float
    turn: Turn | None = None
    tries: int = 0
    out: set[int] = field(default_factory=set)  # numbers of its attempts without an outcome
    maybe_ran: dict[int, tuple[float, Endpoint]] = field(
        default_factory=dict
    )  # sends that may have run
    used: list[int] = field(default_factory=list)  # servers tried
    parked: int = 0  # the result that waits for a Resume; 0: none


class Policy:
    """One node's decisions. Shares nothing with other instances; random numbers come from the
    seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.servers: dict[int, Server] = {}
        self.ready: list[int] = []  # in the order of their hashes, the same at every node
        self.marks: list[int] = []  # these hashes
        self.cold: set[int] = set()  # of the ready ones, those that may be cold
        self.sizes: dict[int, Sizes] = {}  # of the ready ones, by kind
        self.placed: dict[int, Endpoint] = {}  # their entries as all of these have them
        self.noted: set[int] = set()  # servers that a list has named since
        self.groups = 1  # stretches that the fleet is in
        self.start, self.span = 0, 1  # our stretch of the fleet
        self.ours: list[int] = []  # its servers
        self.ring = Ring()  # places of its servers
        self.points: dict[int, int] = {}  # how many each of them has there
        self.unplaced: OrderedDict[int, None] = (
            OrderedDict()
        )  # those that have too few or too many yet
        self.rested: set[int] = set()  # servers that rest or did, until they prove themselves
        self.touched: set[int] = set()  # servers of which `recent` or `slow` may be no new one's
        self.known: dict[
            int, EndpointStatistics
        ] = {}  # what was learned of servers before this start
        self.jobs: dict[int, Job] = {}
        self.streams: dict[tuple[int, int], Job] = {}  # attempts whose answers go on as they come
        self.usual: list[float] = []  # learned answer time by class
        self.offered: list[
            float
        ] = []  # recent requests, like worths: by class, then by class beyond quota
        self.bands: list[tuple[float, float]] = []
        self.buckets: dict[
            int, tuple[float, float]
        ] = {}  # by tenant: requests in it, as of that much leaked
        self.key_counts: dict[int, float] = {}
        self.keys_total = self.total_recent = 1e-9  # recent requests with a key, recent attempts
        self.failed = self.seen = self.no_link = (
            0.0  # recent attempts, decayed; share without a connection
        )
        self.errors = 0.0  # their share that failed
        self.flying, self.in_flight, self.need = (
            0,
            0.0,
            1.0,
        )  # open attempts: now, averaged, when busy
        self.sent, self.sending = 0, 0.0  # attempts since upkeep, and a ms on average
        self.met, self.age = (
            0,
            0.0,
        )  # timely answers since upkeep; ms of traffic seen, up to RATE_TIME
        self.rate = self.best_rate = 0.0  # timely answers a ms: now and at best
        self.mean = self.least = self.answers = (
            0.0  # their time on average over so many, and at best
        )
        self.carried = 0.0  # timely answers a ms and server, at best
        self.x, self.cut, self.shedding = 0.0, 0.0, False
        self.upkeep_at = self.halved_at = self.now = self.leaked = (
            0.0  # the last: ms that buckets leaked
        )
        self.kinds: dict[int, float] = {}  # answer time over the usual, by kind of machine
        self.works: dict[
            int, float
        ] = {}  # the time that a warm one takes for an answer, by kind of machine
        self.warm = self.slots = self.strongest = self.mean_strength = 1.0
        self.ask_backoff = settings.poll_interval_ms / 40
        self.turns: dict[int, Turn] = {}  # by key
        self.moved: list[Turn] = []  # where the next may have its turn
        self.company: ClusterView | None = None  # None: as the settings say
        self.plan: TrafficPlan | None = None  # None: our own zone first, and any other
        self.zones: dict[int, list[int]] = {}  # with a plan: the servers of our stretch, by zone
        self.inside: dict[int, set[int]] = {}  # the same, to look one up
        self.zones_old = True  # whether they have to be sorted anew
        self.focus: dict[
            int, float
        ] = {}  # how much of what we send goes to a zone, over its even part
        self.spilt: dict[
            int, tuple[float, float]
        ] = {}  # attempts that may spill into a zone, as of when
        self.settle_terms(
            SettingsChanged(settings, every := frozenset(range(len(settings.classes))), every)
        )

    def settle_terms(self, event: SettingsChanged) -> None:
        """Put settings in force: what was learned of a class that stays is kept."""
        kept = [
            t
            for t in self.buckets
            if t < len(event.settings.quotas_per_s) and t not in event.reset_tenants
        ]
        self.buckets = {t: (used, self.leaked) for t in kept if (used := self.used_by(t)) > 0}
        self.settings = settings = event.settings
        had, n, classes = len(self.usual), len(settings.classes), settings.classes
        self.pace = min(1.0, min(classes[i].latency_objective_ms for i in event.live_classes) / AIM)
        self.worths = [
            c.priority_weight * w for w in (1.0, settings.over_quota_weight) for c in classes
        ]
        beyond = self.offered[had:]
        for values in (self.offered, beyond):
            values[had:] = [1e-9] * (n - had)
        for i in event.reset_classes | (
            frozenset(range(n)) - event.live_classes
        ):  # one that vanished draws no band
            self.offered[i] = beyond[i] = 1e-9
        self.offered += beyond
        self.usual += [0.0] * (n - had)
        for i in event.reset_classes:
            self.usual[i] = classes[i].latency_objective_ms / 4
        self.bands = (self.bands + [(0.0, 100.0)] * (2 * n))[: 2 * n]
        for server in self.servers.values() if n > had or event.reset_classes else ():
            server.health += [Health() for _ in range(n - had)]
            for i in event.reset_classes:
                server.health[i] = Health()
        self.never_ran = (
            NOT_EXECUTED - {AttemptResult.FULL} if settings.full_possibly_executed else NOT_EXECUTED
        )
        self.settle_company()

    def settle_company(self) -> None:
        """Go by who shares the fleet: as told, else as the settings say."""
        size, quotas = self.settings.cluster_size, self.settings.quotas_per_s
        self.group = group = self.company or ClusterView(size, self.settings.node_index, size)
        same = len(group.quota_shares) == len(quotas)  # else they are of other settings
        self.divisors = (
            [1 / part for part in group.quota_shares]
            if same
            else [group.possibly_alive] * len(quotas)
        )

    def on_company(self, event: ClusterView) -> None:
        self.company = event
        self.buckets = {
            t: (used, self.leaked) for t in self.buckets if (used := self.used_by(t)) > 0
        }
        self.settle_company()
        for server_id, level in event.failure_reports:
            if (server := self.servers.get(server_id)) is not None:
                for health in server.health:
                    health.fails = max(health.fails, min(level, HEARSAY))
        self.measure_fleet()

    def on_planned(self, event: TrafficPlan) -> None:
        before, self.plan = self.plan, event if event.shares else None
        if before is not self.plan:
            self.zones_old = self.zones_old or before is None
            self.measure_fleet()

    def on_retuned(self, event: SettingsChanged) -> None:
        self.settle_terms(event)
        self.set_bands()
        self.measure_fleet()

    def busy(self) -> tuple[set[int], set[int]]:
        """Classes and tenants that a request or an attempt still has."""
        jobs = [*self.jobs.values()]
        for server in (self.servers[server_id] for server_id in self.touched & self.servers.keys()):
            jobs += [*(job for job, _ in server.open.values()), *server.uploads.values()]
        requests = [job.request for job in (*jobs, *self.streams.values())]
        return {request.class_index for request in requests}, {
            request.tenant for request in requests
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now = now
        self.out: list[Action] = []
        if self.unplaced:
            self.place_points(SLICE)
        if isinstance(event, Request):
            self.on_request(event)
        elif isinstance(event, AttemptEnded):
            self.on_outcome(event)
        elif isinstance(event, EndpointUpdate):
            self.on_list(event)
        elif isinstance(event, RequestCancelled):
            self.finish(event.id)
        elif isinstance(event, AttemptRerouted):
            self.on_diverted(event)
        elif isinstance(event, RetryDecisionDue):
            self.on_resume(event)
        elif isinstance(event, RequestCompleted):
            self.on_whole(event)
        elif isinstance(event, ResponseStarted):
            self.on_began(event)
        elif isinstance(event, SettingsChanged):
            self.on_retuned(event)
        elif isinstance(event, ClusterView):
            self.on_company(event)
        elif isinstance(event, TrafficPlan):
            self.on_planned(event)
        elif isinstance(event, DeadlineExceeded):
            if (late := self.jobs.get(event.id)) is not None:
                self.end(late)
        elif isinstance(event, TimerFired):
            if event.token == SUBSCRIBE:
                self.out.append(Subscribe())
            elif (held := self.jobs.get(event.token)) is not None and not held.tries:
                self.attempt(held)
        while self.moved:
            turn = self.moved.pop()
            if turn.line and not turn.line[0].tries:
                self.attempt(turn.line[0])
        return self.out

    # Requests in: score, cut, first attempt.

    def on_request(self, request: Request) -> None:
        if self.now - self.upkeep_at >= UPKEEP * self.pace:
            self.upkeep()  # which measures it, too
        else:
            self.measure_overload()
        settings, group, tenant = self.settings, request.class_index, request.tenant
        if not 0 <= group < len(settings.classes):
            raise LookupError(f"a request names class {group}, which the settings do not have")
        if (
            settings.quotas_per_s
        ):  # a bucket 1 s deep that leaks the quota; our traffic stands for all nodes'
            if not 0 <= tenant < len(settings.quotas_per_s):
                raise LookupError(
                    f"a request names tenant {tenant}, which the settings do not have"
                )
            if (used := self.used_by(tenant)) > settings.quotas_per_s[tenant] / self.divisors[
                tenant
            ]:
                group += len(settings.classes)
            else:
                self.buckets[tenant] = used + 1, self.leaked
        self.offered[group] += 1
        if request.key and settings.key_affinity:
            self.key_counts[request.key] = self.key_counts.get(request.key, 0.0) + 1
            self.keys_total += 1
        if request.possibly_executed and not self.repeatable(request.class_index):
            self.out.append(Fail(request.id))  # it may have run, and nothing tells where and when
            return
        score = self.bands[group][0] + self.bands[group][1] * self.random.random()
        burst = (self.flying / self.need - BURST_FROM) / (BURST_FULL - BURST_FROM)
        if score < self.cut or (burst > 0 and score < 100.0 * min(burst, 1.0) ** 3):
            # What is refused tells nothing: unless it ages what was seen, a cut that stops nearly
            # all is fed by its own silence, since good and bad attempts fade alike.
            self.failed -= self.failed / STALE
            self.seen -= self.seen / STALE
            self.out.append(Shed(request.id, self.refuse_wait(score)))
            return
        job = self.jobs[request.id] = Job(
            request, settings.classes[request.class_index], self.now, score
        )
        if request.key and job.terms.serialized_by_key:
            job.turn = self.turns.setdefault(request.key, Turn())
            job.turn.line.append(job)
        self.attempt(job)

    def used_by(self, tenant: int) -> float:
        """What is in a tenant's bucket. It leaks when it is looked at: upkeep must not cost all
        tenants."""
        count, at = self.buckets.get(tenant, (0.0, 0.0))
        gone = self.settings.quotas_per_s[tenant] * (
            (self.leaked - at) / 1000 / self.divisors[tenant]
        )
        return max(0.0, count - gone)

    def upkeep(self) -> None:
        passed = min(self.now - self.upkeep_at, 1000.0) if self.upkeep_at else UPKEEP * self.pace
        self.upkeep_at, self.leaked = self.now, self.leaked + passed
        if self.now - self.halved_at >= SHARE_HALF:
            self.halved_at = self.now
            self.offered = [x / 2 for x in self.offered]
            self.keys_total /= 2
            self.key_counts = {k: c / 2 for k, c in self.key_counts.items() if c > 0.5}
            self.total_recent /= 2
            self.turns = {
                k: t for k, t in self.turns.items() if t.line or t.out or t.rest_until > self.now
            }
            self.touched &= self.servers.keys()
            for server in (self.servers[server_id] for server_id in self.touched):
                server.recent /= 2
                server.slow = (1 + server.slow) / 2
            self.measure_fleet()
        elif self.cold or self.rested:
            self.measure_warmth()
        self.set_bands()
        self.set_cut(passed)

    def set_bands(self) -> None:
        """Scores: groups in order of worth, as wide as their share of offered worth; equals share a
        band."""
        offered = [(w, w * count) for w, count in zip(self.worths, self.offered, strict=True)]
        total = sum(value for _, value in offered) or 1.0
        for i, worth in enumerate(self.worths):
            low = sum(value for w, value in offered if w < worth)
            same = sum(value for w, value in offered if w == worth)
            self.bands[i] = (100.0 * low / total, 100.0 * same / total)

    # Overload: how far errors and requests in flight are past their thresholds.

    def set_cut(self, passed: float) -> None:
        # Of few requests held most is chance: then it looks at a longer time.
        settle = min(max(SETTLE / self.need, 4 * UPKEEP), 100 * UPKEEP) * self.pace
        part = min(1.0, passed / settle)
        self.in_flight += (self.flying - self.in_flight) * part
        self.sending += (self.sent / max(passed, 1.0) - self.sending) * part
        self.sent = 0
        # Nothing comes then that could tell of a better time; of few attempts that none is out is
        # chance.
        idle = self.x >= 1.0 and self.flying < self.need / 4 and self.need >= IDLE_NEED
        fade = passed / (ERROR_TIME * self.pace) * (IDLE_FADE if idle else 1.0)
        keep = 1 - min(0.5, fade)  # so that a full stop is not for ever
        self.failed, self.seen = self.failed * keep, self.seen * keep
        self.errors = self.failed / (self.seen + PRIOR)
        self.learn_need(passed)
        self.measure_overload()
        if self.shedding != (self.cut > (1.0 if self.shedding else 25.0)):
            self.shedding = not self.shedding
            state = f"errors {self.errors:.2f}, in flight {self.in_flight:.1f} of {self.need:.1f}"
            self.out.append(
                Log(f"shedding {'on' if self.shedding else 'off'}: x {self.x:.2f}, {state}")
            )

    def measure_overload(self) -> None:
        x = (self.errors - ERRORS_FROM) / (ERRORS_FULL - ERRORS_FROM)
        # Behind a burst less is out than on average: a cut that went on would empty the fleet, and
        # let in at once what fills it again.
        held = min(self.in_flight, self.flying)
        x = max(x, (held / self.need - IN_FLIGHT_FROM) / (IN_FLIGHT_FULL - IN_FLIGHT_FROM))
        self.x = min(max(x, 0.0), 1.0)
        self.cut = 100.0 * self.x**3

    def learn_need(self, passed: float) -> None:
        """What a busy fleet needs in flight: its best rate of timely answers times their quickest
        time."""
        calm = self.errors < ERRORS_FROM / 2
        self.age = min(
            self.age + passed, RATE_TIME * self.pace
        )  # a young node has no more to average over
        self.rate += (self.met / max(passed, 1.0) - self.rate) * passed / self.age
        self.best_rate = max(self.best_rate * (1 - passed / (BEST_TIME * self.pace)), self.rate)
        carried = self.rate / max(len(self.ready), 1)  # whatever rests: it must not be overrated
        self.carried = max(self.carried * (1 - passed / (BEST_TIME * self.pace)), carried)
        self.met = 0
        if self.answers >= SAMPLE / 5:
            self.least = min((self.least or self.mean) * (1 + passed / LEAST_TIME), self.mean)
            # Growing traffic is sent before it is answered; few answers would show slowness too
            # late. What is in flight tells no growth: it grows too when answers slow down, before
            # the first one shows it.
            if (
                calm
                and self.mean < QUICK * self.least
                and self.rate * RATE_TIME * self.pace > SAMPLE / 2
            ):
                self.best_rate = max(self.best_rate, self.sending)
        margin = 1.0 + (MARGIN - 1.0) * max(0.0, 1.0 - self.errors / ERRORS_FROM)
        self.need = max(self.slots * self.warm, margin * self.best_rate * self.least)
        self.need = (
            max(self.need, 1.0) if self.answers < SAMPLE / 5 else self.need
        )  # little seen yet

    def refuse_wait(self, score: float) -> float:
        """The lower the score the longer the wait; jitter keeps retries from coming due
        together."""
        return (
            self.settings.max_retry_after_ms
            * (1.0 - score / 100.0)
            * (0.9 + 0.1 * self.random.random())
        )

    # Picking a server.

    def attempt(self, job: Job) -> None:
        """Send the request to a server, hold it for its turn, or end it if none can serve it in
        time."""
        request, cls = job.request, job.terms
        usual, turn = self.usual[request.class_index], job.turn
        # An answer after the aim may be worth nothing: then nothing is gained by waiting longer.
        end = (
            request.deadline
            if cls.late_value_share or not request.complete
            else min(request.deadline, job.since + cls.latency_objective_ms)
        )
        limit = (
            end - self.now
            if request.complete
            else cls.deadline_ms
            if cls.late_value_share
            else cls.latency_objective_ms
        )
        # A line that can't be served in time is refused at its end, not held until its deadline.
        ahead = turn.line.index(job) if turn else 0
        latest = end - max(
            (0.5 + ahead) * usual, request.expected_work_ms, 2 * self.settings.tick_ms
        )
        timely = job.tries < self.settings.max_attempts and latest > self.now
        if timely and turn and not job.tries and (ahead or turn.out or turn.rest_until > self.now):
            until = latest if ahead or turn.out else min(latest, turn.rest_until)
            if request.complete or until < latest:
                self.out.append(SetTimer(until - self.now, request.id))
            return
        if not timely or (server := self.pick(job)) is None:
            self.end(job)
            return
        self.launch(job, server)
        fallbacks = self.fallbacks(job, end) if request.max_fallbacks else ()
        self.out.append(Send(request.id, server.entry.id, limit, fallbacks))

    def launch(self, job: Job, server: Server) -> None:
        """Count an attempt that goes out now."""
        job.out.add(job.tries)
        job.maybe_ran[job.tries] = (self.now, server.entry)
        job.used.append(server.entry.id)
        if job.request.complete:
            self.begin(job, job.tries, server)
        else:
            server.uploads[job.request.id, job.tries] = job
        if job.turn:
            job.turn.out += 1
        job.tries += 1
        self.touched.add(server.entry.id)
        server.recent += 1
        self.total_recent += 1

    def begin(self, job: Job, number: int, server: Server) -> None:
        """From here on the server is at work on it."""
        server.open[(job.request.id, number)] = (
            job,
            self.now + STALL * self.usual[job.request.class_index],
        )
        self.flying += 1
        self.sent += 1

    def on_whole(self, event: RequestCompleted) -> None:
        job = self.jobs.get(event.id)
        if job is None or job.request.complete:
            return
        request, job.since = job.request, self.now
        request.complete, request.deadline = True, event.deadline
        for number in sorted(job.out):
            server = self.servers[job.used[number]]
            del server.uploads[request.id, number]
            self.begin(job, number, server)
        if not job.tries:
            self.attempt(job)

    def on_began(self, event: ResponseStarted) -> None:
        """It is served, for all that the policy learns and counts; what still comes can only
        break."""
        server, job = self.take_back(event.endpoint_id, event.id, event.attempt)
        if server is None or job is None:
            return
        self.forget(server)
        outcome = AttemptEnded(
            event.id, event.endpoint_id, True, AttemptResult.OK, event.attempt, event.elapsed_ms
        )
        self.streams[event.id, event.attempt] = job
        job.out.discard(event.attempt)
        self.learn(server, outcome, job)
        self.finish(event.id)

    def on_stream_end(self, outcome: AttemptEnded, job: Job) -> None:
        self.note_end(job, outcome)
        server = self.servers.get(outcome.endpoint_id)
        if server is not None and outcome.result not in (AttemptResult.OK, AttemptResult.CANCELLED):
            self.suspect(server, job.request.class_index, outcome.result, 1.0)

    def fallbacks(self, job: Job, end: float) -> tuple[int, ...]:
        """Where a carrier may go on to by itself, at any time until the attempt's end; cold servers
        never."""
        most = min(job.request.max_fallbacks, self.settings.max_attempts - job.tries)
        if self.random.random() < max(self.x, self.no_link):
            return ()  # as for sending again: it feeds a jam
        found: list[int] = []
        start = int(
            self.random.random() * len(self.ready)
        )  # their order is that of hashes: any part will do
        for server_id in (self.ready[at] for at in range(start - len(self.ready), start)):
            if len(found) >= most:
                break
            server = self.servers[server_id]
            health = server.health[job.request.class_index]
            if health.rest_until or server_id in job.used or self.cold_share(server) < 1.0:
                continue
            if self.plan is not None and self.focus.get(server.entry.zone, 0.0) <= 0:
                continue  # no part of ours goes there
            if self.usable(server, health) and self.allowed(job, server, end):
                found.append(server_id)
        return tuple(found)

    def pick(self, job: Job) -> Server | None:
        if self.plan is None:
            return self.choose(job, self.draw(job.request.key))
        row = self.planned(job.request)
        zone = self.zone_by(row)
        if zone is None:
            return None
        lost, strain = (
            zone in self.plan.lost_zones,
            self.plan.zone_strain[zone] if self.plan.zone_strain else 0.0,
        )
        # What failed once is tried elsewhere first: a zone that has just gone is not known to be
        # gone yet.
        spared = lost or job.tries > 0 or (strain > 0 and self.random.random() < strain)
        server = self.choose_in(zone, job) if not spared else None
        if server is not None:
            return server
        # Beyond its part a zone takes what the plan has room for, those with larger parts first.
        for other in sorted(self.zones, key=lambda z: -row[z] if z < len(row) else 0.0):
            if (
                other == zone
                or not self.may_spill(other)
                or (found := self.choose_in(other, job)) is None
            ):
                continue
            left, at = self.spilt[other]
            self.spilt[other] = left - 1, at
            return found
        return self.choose_in(zone, job) if spared and not lost else None

    def choose_in(self, zone: int, job: Job) -> Server | None:
        return self.choose(
            job, self.draw_in(zone, job.request.key), max(self.focus.get(zone, 0.0), 1.0)
        )

    def planned(self, request: Request) -> tuple[float, ...]:
        """The parts of requests like this one, by zone. None where the plan is of other classes."""
        assert self.plan is not None
        bound = len(self.settings.classes) * (request.tenant in self.plan.planned_tenants)
        rows = self.plan.shares
        return rows[min(request.class_index + bound, len(rows) - 1)]

    def zone_by(self, row: tuple[float, ...]) -> int | None:
        """A zone by these parts; None: what they leave is refused."""
        drawn = self.random.random()
        for zone, part in enumerate(row):
            drawn -= part
            if drawn < 0:
                return zone
        return None

    def may_spill(self, zone: int) -> bool:
        """Whether an attempt may go there beside its part: a bucket of 0.3 s, filled at the plan's
        rate."""
        assert self.plan is not None
        rate = self.plan.spillover_rates[zone] if zone < len(self.plan.spillover_rates) else 0.0
        left, at = self.spilt.get(zone, (1.0, self.now))
        left = min(left + rate * (self.now - at), max(rate * 300, 1.0))
        self.spilt[zone] = left, self.now
        return rate > 0 and left >= 1

    def draw_in(self, zone: int, key: int) -> Iterator[int]:
        """Server ids of a zone in the order to look at them."""
        there = self.zones.get(zone, [])
        warm = key and self.settings.key_affinity and self.ring.blocks and there
        if warm and (first := self.ring.first(mix(key), self.inside[zone])) is not None:
            yield first
        drawn = [there[int(self.random.random() * len(there))] for _ in range(DRAW) if there]
        chance = {i: self.random.random() > self.strength(self.servers[i]) for i in drawn}
        yield from sorted(drawn, key=lambda i: chance[i])
        start = int(self.random.random() * len(there))
        yield from (there[at] for at in range(start - len(there), start))

    def choose(self, job: Job, draw: Iterator[int], focus: float = 1.0) -> Server | None:
        """A random idle-looking server of a small draw, else the lighter of two.

        `focus`: by how much more than an even part of what we send goes to servers like these."""
        lighter, least, seen, most = None, 0.0, 0, 2
        whole = self.span == len(self.ready)
        mean = self.total_recent / self.span * focus
        for server_id in draw:
            server = self.servers[server_id]
            health = server.health[job.request.class_index]
            fit = (
                self.usable(server, health)
                and self.allowed(job, server)
                and server_id not in job.used
            )
            if server is lighter or not fit:  # two draws mean two servers, also in a small fleet
                continue
            able = max(self.strength(server) * self.cold_share(server), 1e-6)
            ours = (0.5 * server.recent / mean + 4 * len(server.open)) / able
            load = (1 + ours * self.mean_strength) * server.slow * (1 + health.fails)
            seen += 1
            if load < 1 + IDLE or lighter is None or (seen <= most and load < least):
                lighter, least = server, load
            # In a stretch a node knows enough to look on for an idle one; in a whole fleet past
            # full ones.
            most = DRAW if whole and self.crowded(lighter, focus) else 2
            if load < 1 + IDLE or seen >= (most if whole else DRAW):
                break
        if lighter is not None and self.cold_share(lighter) < 1.0:
            lighter.tokens -= 1
        return lighter

    def crowded(self, server: Server, focus: float) -> bool:
        """Whether it holds so much over its part of the need that a fleet of its like would be
        overloaded."""
        part = self.need / self.warm * focus * self.strength(server)  # a list may give no sizes
        return len(server.open) * self.mean_strength >= CROWDED * part

    def draw(self, key: int) -> Iterator[int]:
        """Server ids in the order to look at them."""
        if key and self.settings.key_affinity and self.ring.blocks:
            # Where servers remember keys, the key's own places come first; one that draws much has
            # more.
            places = 1 + int(self.key_counts.get(key, 0.0) / self.keys_total * self.span * SPREAD)
            first = int(self.random.random() * places)
            own = self.place(key, first), self.place(key, (first + 1) % max(places, 2))
            yield from (
                i for i in own if i in self.placed
            )  # of one that left, points may be there yet
        drawn = [self.ours[int(self.random.random() * self.span)] for _ in range(DRAW) if self.ours]
        # Our zone's come first, of them likelier the stronger. If none fits: the stretch, then the
        # fleet.
        far = {i: self.servers[i].entry.zone != self.settings.zone for i in drawn}
        chance = {i: self.random.random() > self.strength(self.servers[i]) for i in drawn}
        yield from sorted(drawn, key=lambda i: (far[i], chance[i]))
        start = self.start + int(self.random.random() * self.span)
        yield from (self.ready[at] for at in range(start - len(self.ready), start))

    def place(self, key: int, number: int) -> int:
        """A key's place: the next point of the ring."""
        return self.ring.after(mix(key + number * 0x632BE59BD9B4E019 & MASK))

    def strength(self, server: Server) -> float:
        """What a server can do by listed size and by the learned pace of its kind; the strongest:
        1."""
        return server.entry.size / self.kinds.get(server.entry.kind, 1.0) / self.strongest

    def usable(self, server: Server, health: Health) -> bool:
        if health.rest_until > self.now or (health.rest_until and server.open):
            return False  # a suspect rests, then gets one attempt at a time until it proves itself
        if any(overdue < self.now for _, overdue in server.open.values()):
            return False  # hung or pausing, seen before any time-out
        return self.cold_share(server) >= 1.0 or self.cold_token(server)

    def cold_share(self, server: Server) -> float:
        """What share of its work a server can surely do by its age."""
        settings, age = self.settings, max(0.0, self.now - server.entry.started_ms)
        if not server.entry.started_ms or age >= settings.slow_start_duration_ms:
            return 1.0
        return (
            settings.slow_start_min_capacity
            + (1.0 - settings.slow_start_min_capacity) * age / settings.slow_start_duration_ms
        )

    def cold_token(self, server: Server) -> bool:
        """Whether a cold server may get an attempt now.

        All nodes together keep to BUDGET of what the settings allow it, each to an even part of
        that: less than one attempt mostly. What has come together undrawn is kept a while: draws of
        one are rare."""
        entry, settings, nodes = server.entry, self.settings, self.group.possibly_alive
        size = entry.size if 0.5 <= entry.size <= 8 else 1.0  # 1 serves one at once
        # Known from settings and list but for the work: that is learned of warm servers of its
        # kind.
        warm = max(size / (self.works.get(entry.kind) or max(self.usual)), self.carried)
        rate = BUDGET * settings.collapse_load_factor * self.cold_share(server) * warm / nodes
        if not self.in_stretch(entry.id):
            rate = 0.0  # it is left to those in whose stretch it is, who share its budget
        earned = rate * len(self.ready) / self.span * (self.now - server.tokens_at)
        server.tokens = min(
            server.tokens + earned, max(1.0, KEPT * rate * settings.collapse_window_ms)
        )
        server.tokens_at = self.now
        # A fleet that begins cold has no warm peers to serve meanwhile: one on credit, if all have
        # a slot.
        begins = len(self.cold) > 0.9 * len(self.ready) and (len(server.open) + 1) * nodes <= size
        return server.tokens >= (-1.0 if begins else 0.0)

    def allowed(self, job: Job, server: Server, until: float = 0.0) -> bool:
        """Whether the class lets the request go to this server, given where it may have run
        already."""
        cls, among = job.terms, job.request.reachable_endpoints
        if among is not None and server.entry.id not in among:
            return False
        if not job.maybe_ran or cls.idempotency is not Idempotency.KEYED:
            return not job.maybe_ran or cls.idempotency is Idempotency.IDEMPOTENT
        return all(
            max(self.now, until) - sent < cls.deduplication_window_ms - self.settings.tick_ms
            and (
                cls.deduplication_scope is not DeduplicationScope.ZONE
                or entry.zone == server.entry.zone
            )
            and (
                cls.deduplication_scope is not DeduplicationScope.CELL
                or entry.cell == server.entry.cell
            )
            for sent, entry in job.maybe_ran.values()
        )

    # Outcomes, further attempts and final answers.

    def take_back(
        self, server_id: int, request_id: int, number: int
    ) -> tuple[Server | None, Job | None]:
        """An attempt is no longer out: its server and its job, None where they are not known."""
        if (server := self.servers.get(server_id)) is None:
            return None, None
        job, _ = server.open.pop((request_id, number), (None, 0.0))
        if job is not None:
            self.flying -= 1
            return server, job
        return server, server.uploads.pop((request_id, number), None)

    def on_outcome(self, outcome: AttemptEnded) -> None:
        if (over := self.streams.pop((outcome.id, outcome.attempt), None)) is not None:
            self.on_stream_end(outcome, over)
            return
        server, job = self.take_back(outcome.endpoint_id, outcome.id, outcome.attempt)
        if server is None or job is None:
            if outcome.completed:  # a carrier may have gone on to a server that is forgotten by now
                self.finish(outcome.id)
            return  # told twice
        self.forget(server)
        self.note_end(job, outcome)
        self.learn(server, outcome, job)
        if outcome.completed or outcome.id not in self.jobs:
            self.finish(outcome.id)
        elif outcome.parked:
            job.parked = outcome.result
        elif outcome.body_consumed:
            self.end(job)
        else:
            self.go_on(job, outcome.result)

    def go_on(self, job: Job, result: int) -> None:
        """Send a request again whose attempt ended so, or end it."""
        if result in (AttemptResult.TIMEOUT, AttemptResult.NOT_SENT) or self.random.random() < max(
            self.x, self.no_link
        ):
            self.end(
                job
            )  # its time is over; and resending feeds a jam, also of connections being made
        else:
            self.attempt(job)

    def on_resume(self, event: RetryDecisionDue) -> None:
        job = self.jobs.get(event.id)
        if job is None or not job.parked:
            return
        result, job.parked = job.parked, 0
        if event.may_retry:
            self.go_on(job, result)
        else:
            self.end(job)

    def on_diverted(self, event: AttemptRerouted) -> None:
        """A carrier went on by itself: its first attempt ended, and the next is out where it
        went."""
        target = self.servers.get(event.next_endpoint_id)
        server, job = self.take_back(event.endpoint_id, event.id, event.attempt)
        if server is None or job is None:
            return
        self.forget(server)
        outcome = AttemptEnded(
            event.id, event.endpoint_id, False, event.result, event.attempt, event.elapsed_ms
        )
        self.note_end(job, outcome)
        self.learn(server, outcome, job)
        if target is not None and event.id in self.jobs:
            self.launch(job, target)

    def note_end(self, job: Job, outcome: AttemptEnded) -> None:
        """What an attempt's end tells of whether its request ran, and whose turn is next."""
        job.out.discard(outcome.attempt)
        if outcome.result in self.never_ran:
            job.maybe_ran.pop(outcome.attempt, None)
        if job.turn is not None:
            job.turn.out -= 1
            if outcome.result in POSSIBLY_STILL_EXECUTING:
                job.turn.rest_until = self.now + self.settings.key_cooldown_ms
            self.moved.append(job.turn)

    def learn(self, server: Server, outcome: AttemptEnded, job: Job) -> None:
        """What an outcome tells of its server and of the fleet."""
        result, cls = outcome.result, job.request.class_index
        if result in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            return
        bad, health = result != AttemptResult.OK, server.health[cls]
        self.no_link += 0.1 * ((result == AttemptResult.UNREACHABLE) - self.no_link)
        # What loads no server is no overload: no connection, an error or a reset sooner than the
        # work takes.
        weight = float(result != AttemptResult.UNREACHABLE)
        if result in (AttemptResult.ERROR, AttemptResult.RESET):
            weight = min(1.0, 0.5 * outcome.elapsed_ms / self.usual[cls])
        self.seen += 1.0 - self.seen / REACH
        self.failed += weight * bad - self.failed / REACH
        self.errors = self.failed / (self.seen + PRIOR)
        if not bad:
            kind = server.entry.kind
            work = self.works.get(kind) or max(self.usual)
            self.works[kind] = work + 0.1 * (outcome.elapsed_ms * self.cold_share(server) - work)
            self.usual[cls] += (0.02 if self.x < 0.2 else 0.002) * (
                outcome.elapsed_ms - self.usual[cls]
            )
        if not bad or result == AttemptResult.TIMEOUT:
            # How slow against its class, then its kind: few samples of one server, many of its
            # kind.
            ratio = min(outcome.elapsed_ms / self.usual[cls], 8.0)
            pace = self.kinds.get(server.entry.kind, 1.0)
            self.kinds[server.entry.kind] = pace + 0.005 * (ratio - pace)
            server.slow += 0.4 * (ratio / pace - server.slow)
        wanted = job.terms
        if not bad and (
            wanted.late_value_share or self.now - job.since <= wanted.latency_objective_ms
        ):
            self.met += 1
            self.answers = min(self.answers + 1, max(SAMPLE, self.rate * RATE_TIME * self.pace))
            self.mean += (outcome.elapsed_ms - self.mean) / self.answers
        if bad:
            self.suspect(server, cls, result, weight if result == AttemptResult.RESET else 1.0)
        else:
            health.fails *= 0.7
            health.rest_until, health.strikes = 0.0, health.strikes // 2
            if server.entry.id in self.rested and not any(h.rest_until for h in server.health):
                self.rested.discard(server.entry.id)

    def suspect(self, server: Server, cls: int, result: int, weight: float) -> None:
        """A failure: the server rests, for this class or for all, if it stands out."""
        # It may fail one class only; silence tells of all. 'full' is load, but one that says
        # nothing else, as before its drain is listed, would draw traffic by being quick; as no
        # proof it costs the request.
        gain, others = (
            (0.3, 0.3) if result not in (AttemptResult.ERROR, AttemptResult.FULL) else (0.5, 0.1)
        )
        if result == AttemptResult.FULL and AttemptResult.FULL in self.never_ran:
            gain, others = 0.1, 0.03
        # A reset at once is the connection's: the process that died refuses the next one.
        gain, others = gain * weight, others * weight
        for other, health in enumerate(server.health):
            health.fails += (gain if other == cls else others) * (1.0 - health.fails)
            if health.fails > SUSPECT_AT + 2 * self.errors and health.rest_until <= self.now:
                resters = [self.servers[i] for i in self.rested if i in self.points]
                resting = sum(s.health[other].rest_until > self.now for s in resters)
                if resting < MAX_RESTING * self.span:
                    self.rested.add(server.entry.id)
                    rest = REST * 2 ** min(health.strikes, 4) * (0.75 + 0.5 * self.random.random())
                    health.rest_until, health.strikes = self.now + rest, health.strikes + 1

    def end(self, job: Job) -> None:
        """The final answer without an open attempt: refused where that does no harm, else
        failed."""
        cls = job.terms
        wait, number = self.refuse_wait(job.score), job.request.id
        self.out.append(
            Shed(number, wait) if cls.client_may_retry or not job.maybe_ran else Fail(number)
        )
        self.finish(number)

    def repeatable(self, group: int) -> bool:
        """Whether a request that may have run, no one knows where, may be sent or refused all the
        same."""
        cls = self.settings.classes[group]
        return cls.client_may_retry and (
            cls.idempotency is Idempotency.IDEMPOTENT
            or cls.deadline_ms < cls.deduplication_window_ms
        )

    def finish(self, job_id: int) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None and self.settings.may_cancel:
            self.out.extend(CancelAttempt(job_id, number) for number in sorted(job.out))
        if job is not None and job.turn is not None:
            job.turn.line.remove(job)
            self.moved.append(job.turn)

    # The server list.

    def on_list(self, event: EndpointUpdate) -> None:
        if self.settings.polls_endpoints and event.kind in (UpdateKind.CACHED, UpdateKind.FAILED):
            # Calls of many nodes would meet: the first is spread out, later ones back off with
            # jitter.
            self.out.append(
                SetTimer(self.ask_backoff * (0.2 + 0.8 * self.random.random()), SUBSCRIBE)
            )
            self.ask_backoff = min(2 * self.ask_backoff, self.settings.poll_interval_ms / 4)
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind is not UpdateKind.CACHED:
            self.ask_backoff = self.settings.poll_interval_ms / 20
        if event.kind is not UpdateKind.DELTA:
            listed = {entry.id for entry in event.endpoints}
            for server_id in [i for i in self.ready if i not in listed]:
                self.note(replace(self.servers[server_id].entry, state=EndpointState.GONE))
        for entry in event.endpoints:
            self.note(entry)
        if event.kind is UpdateKind.SNAPSHOT:
            self.known.clear()  # whoever comes later comes to what has not been aged
        self.settle()
        self.measure_fleet()

    def settle(self) -> None:
        """Take over who is ready now: one changed line must not cost a look at all of them."""
        came: list[int] = []
        went: set[int] = set()
        new: dict[int, list[tuple[float, int]]] = {}
        for server_id in self.noted:
            server, before = self.servers.get(server_id), self.placed.pop(server_id, None)
            after = (
                server.entry
                if server is not None and server.entry.state is EndpointState.READY
                else None
            )
            if after is not None:
                self.placed[server_id] = after
            if before == after:
                continue
            if before is not None and after is not None and before.zone != after.zone:
                self.zones_old = True
            self.unplaced[server_id] = None
            self.cold.discard(server_id)
            if before is not None:
                self.sizes[before.kind].remove(before.size, server_id)
                if after is None:
                    went.add(server_id)
            if after is not None:
                new.setdefault(after.kind, []).append((after.size, server_id))
                if after.started_ms:
                    self.cold.add(server_id)
                if before is None:
                    came.append(server_id)
        self.noted.clear()
        self.move_in_zones(went, came)
        for kind, sizes in new.items():
            self.sizes.setdefault(kind, Sizes()).add(sizes)
        if len(went) + len(came) > 64:
            kept = [
                pair for pair in zip(self.marks, self.ready, strict=True) if pair[1] not in went
            ]
            pairs = sorted([*kept, *((mix(server_id), server_id) for server_id in came)])
            self.marks, self.ready = (
                [mark for mark, _ in pairs],
                [server_id for _, server_id in pairs],
            )
            return
        for server_id in went:
            at = self.ready.index(server_id, bisect_left(self.marks, mix(server_id)))
            del self.ready[at], self.marks[at]
        for server_id in came:
            at = bisect_left(self.marks, mix(server_id))
            self.marks.insert(at, mix(server_id))
            self.ready.insert(at, server_id)

    def measure_fleet(self) -> None:
        # Groups of a few nodes share a stretch of the fleet where each holds little: of few servers
        # a node knows what they hold, and they accept only so many connections. A group places keys
        # alike.
        count = len(self.ready)
        sparse = self.need < SPARSE * count
        groups = max(1, min(self.group.size // NODES, count // FEW)) if sparse else 1
        group = self.group.node_index * groups // self.group.size
        self.start = group * count // groups
        self.span = max(1, (group + 1) * count // groups - self.start)
        self.ours = self.ready if groups == 1 else self.ready[self.start : self.start + self.span]
        if self.plan is not None:
            if self.zones_old or groups > 1:
                self.sort_zones()
            self.weigh_zones(self.plan)
        self.measure_warmth()
        kinds = [(kind, sizes) for kind, sizes in self.sizes.items() if sizes.order]
        pace = {kind: self.kinds.get(kind, 1.0) for kind, _ in kinds}
        strongest = [sizes.largest / pace[kind] / self.strongest for kind, sizes in kinds]
        self.strongest *= max(strongest, default=1.0) or 1.0  # a list may give no sizes
        size = sum(sizes.total for _, sizes in kinds) / max(1, count)  # 1 serves one at once
        self.slots = (size if 0.5 <= size <= 8 else 1.0) / self.group.size
        strength = sum(sizes.total / pace[kind] / self.strongest for kind, sizes in kinds)
        self.mean_strength = strength / max(1, count)
        changed = self.points.keys() ^ set(self.ours) if groups != 1 or self.groups != 1 else set()
        self.groups = groups
        self.mark_points(pace, changed)

    def sort_zones(self) -> None:
        """The servers of our stretch by zone; where it has none of a zone, all that there are."""
        self.zones, self.zones_old = {}, False
        for servers in (self.ours, self.ready):
            had = set(self.zones)
            for server_id in servers:
                zone = self.servers[server_id].entry.zone
                if zone >= 0 and zone not in had:  # the list may say of one that it is in none
                    self.zones.setdefault(zone, []).append(server_id)
        self.inside = {zone: set(there) for zone, there in self.zones.items()}

    def move_in_zones(self, went: set[int], came: list[int]) -> None:
        """A few changed lines cost no look at all servers."""
        if self.plan is None or self.zones_old or self.groups > 1 or len(went) + len(came) > 64:
            self.zones_old = True
            return
        for server_id in went:
            for zone in [zone for zone, there in self.inside.items() if server_id in there]:
                self.zones[zone].remove(server_id)
                self.inside[zone].discard(server_id)
        for server_id in came:
            if (zone := self.servers[server_id].entry.zone) >= 0:
                self.zones.setdefault(zone, []).append(server_id)
                self.inside.setdefault(zone, set()).add(server_id)

    def weigh_zones(self, plan: TrafficPlan) -> None:
        """How much more or less than an even part of what we send goes to each zone."""
        own, total = plan.shares[: len(self.settings.classes)], sum(map(len, self.zones.values()))
        for zone, there in self.zones.items():
            count = max(1, len(there))
            part = sum(row[zone] for row in own if zone < len(row)) / len(own)
            self.focus[zone] = part * total / count

    def measure_warmth(self) -> None:
        self.cold = {i for i in self.cold if self.cold_share(self.servers[i]) < 1.0}
        share = sum(self.cold_share(self.servers[i]) for i in self.cold)
        # What rests is out, too: a need that counted it would fill the others until they thrash.
        lost = self.plan.lost_zones if self.plan is not None else frozenset()
        resting = [server for i in self.rested if i in self.placed and (server := self.servers[i])]
        out = sum(self.resting_share(server) for server in resting if server.entry.zone not in lost)
        out += sum(len(self.zones.get(zone, ())) for zone in lost) * len(self.ready) / self.span
        self.warm = max(
            len(self.ready) - len(self.cold) + share - out, 1.0
        )  # cold ones by what they can do

    def resting_share(self, server: Server) -> float:
        """What part of its work a server is kept from, over the classes, until it proves itself."""
        resting = sum(health.rest_until > 0 for health in server.health)
        return self.cold_share(server) * resting / len(server.health)

    def mark_points(self, pace: dict[int, float], changed: set[int]) -> None:
        """Find the servers that have too few or too many points on the ring, and place a few at
        once."""
        most, ours = (RING_POINTS, []) if self.groups <= SCARCE else (0, self.ours)
        moved = [*changed, *(i for i in ours if self.points.get(i) != self.points_due(i))]
        for kind, paced in pace.items():
            level = Level(RING_POINTS, paced, self.strongest)
            moved += self.sizes[kind].moved((paced, self.strongest), level, most)
        for server_id in moved:
            self.unplaced[server_id] = None
        if self.unplaced:
            few = len(self.unplaced) * RING_POINTS <= POINTS_AT_ONCE
            self.place_points(POINTS_AT_ONCE if few else SLICE)

    def in_stretch(self, server_id: int) -> bool:
        at = bisect_left(self.marks, mix(server_id))
        return self.start <= at < self.start + self.span and server_id in self.placed

    def points_due(self, server_id: int) -> int:
        return int(RING_POINTS * self.strength(self.servers[server_id])) + 1

    def place_points(self, most: int) -> None:
        """Give servers on the waiting list their points, until so many were placed or taken
        away."""
        fresh: list[tuple[int, int]] = []
        while self.unplaced and most > 0:
            server_id, _ = self.unplaced.popitem(
                last=False
            )  # of a plain dict the first is found ever later
            wanted, have = 0, self.points.pop(server_id, 0)
            if self.in_stretch(server_id):
                wanted = self.points[server_id] = self.points_due(server_id)
            most -= 1 + abs(wanted - have)
            for number in range(min(have, wanted), max(have, wanted)):
                point = mix(server_id * 1000003 + number), server_id
                if wanted < have:
                    self.ring.remove(point)
                else:
                    fresh.append(point)
        self.ring.extend(fresh)

    def forget(self, server: Server) -> None:
        """Ids are ever new: a server that is gone leaves with the outcome of its last attempt."""
        if server.entry.state is EndpointState.GONE and not server.open and not server.uploads:
            self.servers.pop(server.entry.id, None)
            self.rested.discard(server.entry.id)

    def note(self, entry: Endpoint) -> None:
        """Take over one line of the list."""
        old = self.servers.get(entry.id)
        if old is None and entry.state is EndpointState.GONE:
            return
        if (
            old is None or old.entry.started_ms != entry.started_ms
        ):  # new, or restarted: what we knew is void
            health = [Health() for _ in self.usual]
            self.servers[entry.id] = Server(entry, -self.random.random(), self.now, health)
            if self.ready:  # as much as its peers': else it would draw more than they do
                self.servers[entry.id].recent = self.total_recent / len(self.ready)
                self.touched.add(entry.id)
            if old is not None:
                self.servers[entry.id].open, self.servers[entry.id].uploads = old.open, old.uploads
            if (known := self.known.pop(entry.id, None)) is not None and old is None:
                self.remember(self.servers[entry.id], known)
        self.noted.add(entry.id)
        self.servers[entry.id].entry = entry
        self.forget(self.servers[entry.id])

    def remember(self, server: Server, known: EndpointStatistics) -> None:
        """Take over what was learned of a server before our own start, unless it has started anew
        since."""
        if abs(known.started_ms - server.entry.started_ms) >= 1.0 or len(
            known.failure_rates
        ) != len(server.health):
            return
        self.touched.add(server.entry.id)
        server.slow, server.recent = known.relative_latency, known.recent_attempts
        self.total_recent += known.recent_attempts
        for health, fails, strikes in zip(
            server.health, known.failure_rates, known.consecutive_ejections, strict=True
        ):
            health.fails, health.strikes = fails, round(strikes)
            if fails > SUSPECT_AT and len(self.rested) < MAX_RESTING * max(len(self.noted), FEW):
                health.rest_until = self.now or 1e-9  # one attempt at a time until it proves itself
                self.rested.add(server.entry.id)
