"""What one node sees of each zone by its own attempts and probes: does anything answer there? No
I/O.

A zone is dark when its silence can't be chance any more. By a law without memory the chance that
attempts which have been out for a_1, a_2, … ms are all unanswered, where answers take m on average,
is exp(-sum(a) / m): so the sum is the proof, whatever the rate of traffic is (as the phi of
Hayashibara et al. 2004, over many attempts). One server that hangs is the policy's matter: any
answer of the zone takes the proof away.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from badgercart.policy.events import AttemptResult

DARK_FROM = 12.0  # proof: a chance of 6 in a million
NO_LINK = 2.5  # proof of an attempt or a probe that met nobody at all
UNMET = {
    AttemptResult.UNREACHABLE: NO_LINK,
    AttemptResult.RESET: NO_LINK / 2,
}  # the least that such an end proves
DOUBT = 100.0  # ms after which a zone that has left something unanswered is asked
ATTEMPTS = 3  # that a proof rests on at least, and on two servers where there are two
BACK = 3  # probes answered in a row that end the dark
KNOWN_FOR = 10_000.0  # ms for which an answer tells that a zone is well
PACED_FOR = 3000.0  # ms for which an attempt tells how quick a zone is
FORGET = 100_000.0  # ms in which the quickest time doubles: a zone may have slower work for good
PACE = 40.0  # answers that the pace reaches back over: of fewer a third more is chance
STEADY = (
    200.0  # answers that the mean over all zones reaches back over: its least must not be chance
)
SAMPLE = 30.0  # attempts that shares and times reach back over
ANSWERS = frozenset({AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL})
MAX_SERVERS = 16  # that a proof is told apart by


class Verdict(IntEnum):
    UNKNOWN = 0
    FINE = 1
    DARK = 2


# By these words verdicts stand in pages and in the log.
VERDICT_WORDS = {Verdict.UNKNOWN: "unknown", Verdict.FINE: "fine", Verdict.DARK: "dark"}


@dataclass(slots=True)
class Eye:
    """One zone as this node sees it. What is out counts from the zone's last answer on."""

    out: int = 0
    sent: float = 0.0  # the sum of the times at which those that are out were sent
    proof: float = 0.0  # of those that have ended unanswered
    tried: int = 0  # attempts and probes that the proof rests on
    servers: set[int] = field(default_factory=set)
    answered: float = -KNOWN_FOR  # when last
    mean: float = 0.0  # ms of its answers
    pace: float = (
        0.0  # the same with those that took too long: else only the quick ones would count
    )
    least: float = 0.0  # the quickest that this was, forgotten in time
    answers: float = 0.0  # how many it rests on, up to PACE
    timed_at: float = -KNOWN_FOR  # when the last of them came
    good: float = 1.0  # the share of answers that were no errors
    dark: bool = False
    streak: int = 0  # probes answered since it is dark

    @property
    def slow(self) -> float:
        """The time of its answers over the quickest that it was: a zone is its own measure, as a
        node that stays near sees no other."""
        return self.pace / self.least if self.least else 1.0

    def known(self, now: float) -> bool:
        """Whether its pace rests on attempts of late: probes tell none."""
        return self.least > 0 and now - self.timed_at < PACED_FOR

    def timed(self, took: float, now: float) -> None:
        """An answer took so long, or did not come in this time."""
        self.answers = min(self.answers + 1, PACE)
        self.timed_at = now
        self.pace += (took - self.pace) / self.answers
        if self.answers >= PACE:
            grown = self.least * (1 + min(now - self.answered, FORGET) / FORGET)
            self.least = min(grown or self.pace, self.pace)

    def reset(self, now: float) -> None:
        self.answered, self.out, self.sent, self.proof, self.tried = now, 0, 0.0, 0.0, 0
        self.servers.clear()
        self.dark, self.streak = False, 0


class ZoneFailureDetector:
    """All zones. Times in ms."""

    def __init__(self, zones: int) -> None:
        self.zones = [Eye() for _ in range(zones)]
        self.mean = 0.0  # ms of all zones' answers
        self.answers = 0.0  # how many it rests on, up to STEADY

    def sent(self, now: float, zone: int, server: int) -> None:
        eye = self.zones[zone]
        eye.out += 1
        eye.sent += now
        eye.tried += 1
        if len(eye.servers) < MAX_SERVERS:
            eye.servers.add(server)

    def ended(self, now: float, zone: int, result: AttemptResult, took: float) -> None:
        """An attempt has ended, `took` ms after it was sent."""
        eye = self.zones[zone]
        if result in ANSWERS:
            eye.good += ((result != AttemptResult.ERROR) - eye.good) / SAMPLE
            if result == AttemptResult.OK:
                eye.mean += (took - eye.mean) / SAMPLE if eye.mean else took
                self.answers = min(self.answers + 1, STEADY)
                self.mean += (took - self.mean) / self.answers
                eye.timed(took, now)
            eye.reset(now)
            return
        if result == AttemptResult.TIMEOUT:
            eye.timed(took, now)
        if now - took < eye.answered or result == AttemptResult.NOT_SENT:
            return  # sent before the last answer: it is counted no longer
        eye.out = max(eye.out - 1, 0)
        eye.sent = max(eye.sent - (now - took), 0.0) if eye.out else 0.0
        eye.proof += max(UNMET.get(result, 0.0), took / self.scale(eye))

    def probed(self, now: float, zone: int, server: int, answered: bool) -> None:
        eye = self.zones[zone]
        if not answered:
            eye.streak = 0
            eye.proof += NO_LINK
            eye.tried += 1
            if len(eye.servers) < MAX_SERVERS:
                eye.servers.add(server)
        elif eye.dark and eye.streak + 1 < BACK:
            eye.streak += 1
        else:
            eye.reset(now)

    def scale(self, eye: Eye) -> float:
        """ms that an answer of a zone takes on average; 100 where nothing has answered yet."""
        return max(eye.mean, self.mean, 1.0) if eye.mean or self.mean else 100.0

    def proof(self, now: float, zone: int) -> float:
        eye = self.zones[zone]
        return eye.proof + (eye.out * now - eye.sent) / self.scale(eye)

    def verdict(self, now: float, zone: int, servers: int = 2) -> Verdict:
        """What this node says of a zone that has so many servers."""
        eye = self.zones[zone]
        if not eye.dark and eye.tried >= ATTEMPTS and len(eye.servers) >= min(2, servers):
            eye.dark = self.proof(now, zone) >= DARK_FROM
        if eye.dark:
            return Verdict.DARK
        return Verdict.FINE if now - eye.answered < KNOWN_FOR else Verdict.UNKNOWN

    def wants_probe(self, now: float, zone: int, every: float) -> bool:
        """Whether nobody else will tell how the zone is: it is dark, has not answered for so long
        (ms), or has left something unanswered."""
        eye = self.zones[zone]
        silent = now - eye.answered
        return eye.dark or silent > every or (eye.proof > 0 and silent > DOUBT)
