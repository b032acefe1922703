"""The join: turns what fronts, carriers and membership tell into events, and actions into what is
done.

It decides nothing. Actions are carried out in the order in which the module gives them; events that
arise meanwhile wait for their turn.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from badgercart.core.clock import MARGIN, now_ms
from badgercart.core.log_events import POLICY_FAILED, POLICY_SAID
from badgercart.core.ports import (
    Answer,
    Carrier,
    Final,
    Front,
    Intake,
    Observer,
    Order,
    StreamingFront,
    Timers,
    Watcher,
)
from badgercart.core.streams import Opening, Sink
from badgercart.policy import Policy
from badgercart.policy.actions import Action, Cancel, Fail, Log, Refuse, Send, Subscribe, Wake
from badgercart.policy.events import (
    Began,
    Company,
    Diverted,
    Event,
    Outcome,
    Overdue,
    PeerMessage,
    Planned,
    ProbeResult,
    Request,
    Result,
    Resume,
    Retuned,
    ServerList,
    Timer,
    Whole,
    Withdrawn,
)
from badgercart.policy.settings import Settings

# What operators read in `policy.failed` as the kind of the event that it was.
KINDS: dict[type[Event], str] = {
    ServerList: "ServerList",
    Request: "Request",
    Whole: "Whole",
    Began: "Began",
    Outcome: "Outcome",
    Diverted: "Diverted",
    Resume: "Resume",
    ProbeResult: "ProbeResult",
    Timer: "Timer",
    PeerMessage: "PeerMessage",
    Withdrawn: "Withdrawn",
    Retuned: "Retuned",
    Company: "Company",
    Planned: "Planned",
    Overdue: "Overdue",
}

# Told of each event and of what was decided by it, before that is done; None: the policy raised.
Tap = Callable[[float, Event, list[Action] | None], None]


@dataclass(slots=True)
class Held:
    """A request that is owed its final answer."""

    front: Front
    carrier: Carrier
    intake: Intake
    taken: float  # ms on the join's clock; 0: before anybody watched
    sends: int = 0


class Join:
    """All requests that are held and all attempts that are out, over every front and carrier."""

    def __init__(
        self, settings: Settings, seed: int, timers: Timers, clock: Callable[[], float] = now_ms
    ) -> None:
        self.timers = timers
        self.clock = clock
        self.policy = Policy(settings, seed)
        self.held: dict[int, Held] = {}
        self.out: dict[tuple[int, int], Carrier] = {}  # attempts, also of requests that are over
        self.last_id = 0
        self.leaving: dict[int, Held] = {}  # withdrawn, and the policy has yet to hear of it
        self.events: deque[Event] = deque()
        self.handling = False
        self.spoilt: Event | None = None  # the last that the policy broke over
        self.leave_by = math.inf  # ms, after which no answer goes out
        self.observers: tuple[Observer, ...] = ()
        self.watchers: tuple[Watcher, ...] = ()
        self.tap: Tap | None = None
        self.perform: dict[type[Action], Callable[[Any], None]] = {
            Send: self.send,
            Refuse: self.refuse,
            Fail: self.fail,
            Cancel: self.cancel,
            Wake: self.wake,
            Log: self.log,
            Subscribe: self.subscribe,
        }

    # Events in, actions out.

    def tell(self, event: Event) -> None:
        """Give the policy an event, after those that wait already."""
        self.events.append(event)
        self.handle()

    def handle(self) -> None:
        """Have the policy handle what waits, unless it is at it."""
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                event = self.events.popleft()
                now, decided = self.clock(), False
                if isinstance(event, Withdrawn):
                    self.leaving.pop(event.id, None)
                try:
                    actions = self.policy.handle(now, event)
                    decided = True
                    if self.tap is not None:
                        self.tap(now, event, actions)
                    for action in actions:
                        self.perform[type(action)](action)
                except Exception:
                    if self.tap is not None and not decided:
                        self.tap(now, event, None)
                    self.spoilt = event
                    # One request must not take the node down with it; it still is owed an answer.
                    POLICY_FAILED(True, kind=KINDS[type(event)], request=getattr(event, "id", 0))
                    if isinstance(event, Request | Outcome | Diverted | Resume):
                        self.give_up(event.id)
                    elif isinstance(event, Timer):
                        self.give_up(event.token)
        finally:
            self.handling = False

    def send(self, action: Send) -> None:
        held = self.held.get(action.id) or self.leaving[action.id]
        number, held.sends = held.sends, held.sends + 1
        limit = held.intake.due - self.clock() if held.intake.whole else held.intake.patience
        if action.limit:
            limit = min(limit, action.limit)
        self.out[action.id, number] = held.carrier
        if action.id in self.leaving:  # its client left while this was being decided
            self.ended(action.id, number, action.server, Result.NOT_SENT, 0.0)
            return
        for watcher in self.watchers:
            watcher.sent(action.server)
        work = held.intake.work
        held.carrier.send(Order(action.id, number, action.server, limit, work, action.fallbacks))

    def refuse(self, action: Refuse) -> None:
        if (held := self.held.pop(action.id, None)) is not None:
            self.over(action.id, held, Final.REFUSED)
            self.forgo(action.id, held)
            held.front.refused(action.wait)

    def fail(self, action: Fail) -> None:
        self.end(action.id, broken=False)

    def end(self, request_id: int, broken: bool) -> None:
        if (held := self.held.pop(request_id, None)) is not None:
            self.over(request_id, held, Final.FAILED)
            self.forgo(request_id, held)
            held.front.failed(broken)

    def give_up(self, request_id: int) -> None:
        """The policy broke over it: it has its answer, and the policy is to forget it."""
        if request_id in self.held:
            self.end(request_id, broken=True)
            self.events.append(Withdrawn(request_id))

    def forgo(self, request_id: int, held: Held) -> None:
        """A request is over: what has not gone out for it by now never does, whether or not work
        may be cancelled."""
        for number in range(held.sends):
            if (carrier := self.out.get((request_id, number))) is not None:
                carrier.forgo(request_id, number)

    def over(self, request_id: int, held: Held, final: Final, server: int = 0) -> None:
        took = self.clock() - held.taken if held.taken else 0.0
        for observer in self.observers:
            observer.over(request_id, held.intake, final, took, server, held.sends)

    def cancel(self, action: Cancel) -> None:
        if (carrier := self.out.get((action.id, action.attempt))) is not None:
            carrier.cancel(action.id, action.attempt)

    def wake(self, action: Wake) -> None:
        # Rounded up: a timer that rings early finds nothing due and would be set again at once.
        self.timers.call_later(math.ceil(action.delay) / 1000, self.tell, Timer(action.token))

    def log(self, action: Log) -> None:
        POLICY_SAID(text=action.text)

    def subscribe(self, action: Subscribe) -> None:
        """Nothing to do: membership follows the list from its start."""

    # From fronts.

    def number(self) -> int:
        """A number for a request that is about to be taken."""
        self.last_id += 1
        return self.last_id

    def leave(self, by: float) -> None:
        """The process ends then (ms): what comes has no more time, and what is held is ended ahead
        of it."""
        self.leave_by = by - MARGIN
        self.timers.call_later(max(self.leave_by - self.clock(), 0.0) / 1000, self.end_all)

    def end_all(self) -> None:
        """End all that is held: refused where it can't have run, else failed."""
        for request_id, held in list(self.held.items()):
            self.forgo(request_id, held)  # what was not written is known not to have run
            if request_id in self.held:
                self.tell(Overdue(request_id))
                self.end(request_id, broken=False)  # where the policy did not know it

    def take(self, request_id: int, intake: Intake, front: Front, carrier: Carrier) -> None:
        """Take on a request. The front may be told its answer before this returns."""
        if intake.whole:
            intake.due = min(intake.due, self.leave_by)
        self.held[request_id] = Held(
            front, carrier, intake, self.clock() if self.observers else 0.0
        )
        event = Request(
            id=request_id,
            cls=intake.cls,
            due=intake.due,
            key=intake.key,
            tenant=intake.tenant,
            hint=intake.hint,
            repeat=intake.repeat,
            fallbacks=intake.fallbacks,
            resumed=intake.resumed,
            among=intake.among,
            whole=intake.whole,
        )
        self.tell(event)

    def whole(self, request_id: int, due: float) -> None:
        """A request that was taken on before has come in whole."""
        if (held := self.held.get(request_id)) is not None:
            held.intake.whole, held.intake.due = True, min(due, self.leave_by)
            self.tell(Whole(request_id, held.intake.due))

    def withdraw(self, request_id: int) -> None:
        """The client has gone away: nothing is owed any more."""
        if (held := self.held.pop(request_id, None)) is not None:
            self.over(request_id, held, Final.WITHDRAWN)
            if self.handling:
                self.leaving[request_id] = held
            self.forgo(request_id, held)
            self.tell(Withdrawn(request_id))

    # From carriers.

    def wanted(self, request_id: int) -> bool:
        """Whether a request still waits, asked before an attempt for it is written. Its client may
        have left with that unread: who has is withdrawn here."""
        if (held := self.held.get(request_id)) is None:
            return False
        if held.front.gone():
            self.withdraw(request_id)
            return False
        return True

    def ended(
        self,
        request_id: int,
        number: int,
        server_id: int,
        result: Result,
        elapsed: float,
        answer: Answer | None = None,
        parked: bool = False,
        spent: bool = False,
    ) -> None:
        """An attempt has ended, `elapsed` ms after it was sent. Told twice, it counts once.

        Where it is parked, the policy learns from it and decides nothing until `resume`."""
        if self.out.pop((request_id, number), None) is None:
            return
        for watcher in self.watchers:
            watcher.ended(server_id, result, elapsed)
        final = result is Result.OK
        if answer is not None and 400 <= answer.status < 500 and answer.status != 429:
            # The request is at fault, wherever it goes: it must neither go round the servers nor
            # count against them, or one bad client would have them all taken for broken. 429 would
            # be a refusal.
            final, result = True, Result.CANCELLED
        if final and answer is not None and (held := self.held.pop(request_id, None)):
            if self.observers:
                self.over(
                    request_id,
                    held,
                    Final.SERVED if answer.status < 400 else Final.FAULTY,
                    server_id,
                )
        else:
            held = None
        over = request_id not in self.held
        told = Outcome(
            request_id, server_id, over, result, number, elapsed, parked=parked, spent=spent
        )
        # Before the answer, which may bring the client's next request: to that, the attempt must
        # not be out.
        self.events.append(told)
        if held is not None and answer is not None:
            held.front.answered(answer)
        self.handle()

    def began(
        self, request_id: int, number: int, server_id: int, elapsed: float, opening: Opening
    ) -> Sink | None:
        """An attempt's answer begins: where it goes, as it comes; None where nobody waits for it
        any more.

        It is the request's final answer. The attempt ends by `ended`, as any other."""
        if (request_id, number) not in self.out or (
            held := self.held.pop(request_id, None)
        ) is None:
            return None
        if self.observers:
            self.over(request_id, held, Final.SERVED, server_id)
        sink = cast(StreamingFront, held.front).began(opening)
        self.tell(Began(request_id, number, server_id, elapsed))
        return sink

    def diverted(
        self, request_id: int, number: int, server_id: int, result: Result, elapsed: float, to: int
    ) -> None:
        """An attempt has ended, and its carrier went on to another server by itself."""
        carrier, held = self.out.pop((request_id, number), None), self.held.get(request_id)
        if carrier is None or held is None:
            return
        for watcher in self.watchers:
            watcher.ended(server_id, result, elapsed)
            watcher.sent(to)
        self.out[request_id, held.sends] = carrier
        held.sends += 1
        self.tell(Diverted(request_id, number, server_id, result, elapsed, to))

    def resume(self, request_id: int, resend: bool) -> None:
        """Have the policy decide on a request whose last end was parked."""
        if request_id in self.held:
            self.tell(Resume(request_id, resend))
