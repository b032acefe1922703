"""What came of a day: worth, ends, latencies, and the course of it. No I/O.

Why hdrhistogram: fixed memory, three digits over the whole range, and histograms of many processes
add up. Times count from the moment at which the schedule has a request, whatever was in its way: so
nothing that waits behind a stall is left out (coordinated omission).
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from lab.settings import Day

US = 1000  # of a ms: histograms count µs
LONGEST = 3_600_000 * US
DIGITS = 3
STEP = 1000.0  # ms in a point of the course
FRESH = 1 << 16  # times that wait for their histogram
QUANTILES = (50.0, 90.0, 99.0, 99.9)
SERIES = ("offered", "served", "timely", "refused", "failed", "left", "cut", "x", "out", "troubled")
ENDS = ("served", "late", "refused", "failed", "left", "lost")


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST, DIGITS)


@dataclass(slots=True)
class Sum:
    """What came of the requests of a class or of a tenant."""

    offered: int = 0
    worth: float = 0.0  # asked for
    got: float = 0.0  # answered in time
    ends: Counter[str] = field(default_factory=Counter)

    def plain(self) -> dict[str, Any]:
        return {
            "offered": self.offered,
            "worth": self.worth,
            "got": self.got,
            "ends": dict(self.ends),
        }


class Measure:
    """Told how each request ended."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.begin = day.experiment.measured_from_s * 1000
        self.classes = [Sum() for _ in day.class_]
        self.tenants = [Sum() for _ in day.tenant or (None,)]
        self.times = [histogram() for _ in day.class_]
        self.fresh: list[list[int]] = [[] for _ in day.class_]  # µs that are not in them yet
        self.attempts = self.tries = 0
        steps = int(day.duration_ms / STEP) + 1
        self.course: dict[str, list[float]] = {name: [0.0] * steps for name in SERIES}

    def step(self, at: float) -> int:
        return min(int(at / STEP), len(self.course["cut"]) - 1)

    def offered(self, at: float) -> None:
        self.course["offered"][self.step(at)] += 1

    def over(self, born: float, cls: int, tenant: int, end: str, took: float) -> None:
        """A request that was to come at `born` ended so, `took` ms later."""
        wanted = self.day.class_[cls]
        worth = got = wanted.worth
        if end == "served" and took > wanted.aim_ms:
            end = "late"
        if end != "served":
            got = worth * wanted.late_value if end == "late" else 0.0
        place = self.step(born)
        name = {"late": "served", "lost": "failed"}.get(end, end)
        self.course[name][place] += 1
        if end == "served":
            self.course["timely"][place] += 1
        if born < self.begin:
            return
        for told in (self.classes[cls], self.tenants[tenant]):
            told.offered += 1
            told.worth += worth
            told.got += got
            told.ends[end] += 1
        if end in ("served", "late"):
            self.fresh[cls].append(min(max(1, round(took * US)), LONGEST))
            if len(self.fresh[cls]) >= FRESH:
                self.count(cls)

    def count(self, cls: int) -> None:
        """Into the histogram, many at once: one call a request would be a tenth of a day's time."""
        for value, times in Counter(self.fresh[cls]).items():
            self.times[cls].record_value(value, times)
        self.fresh[cls].clear()

    @property
    def share(self) -> float:
        """Worth served in time, over worth asked for."""
        asked = sum(told.worth for told in self.classes)
        return sum(told.got for told in self.classes) / asked if asked else 1.0

    def quantiles(self) -> dict[str, float]:
        """ms over all classes."""
        whole = histogram()
        for times in self.times:
            whole.add(times)
        return {f"p{q:g}": whole.get_value_at_percentile(q) / US for q in QUANTILES}

    def recovery(self) -> float | None:
        """s from the end of the last trouble until nine tenths of what came was served in time for
        2 s again; None where there was no trouble, infinite where that did not come before the
        day's end."""
        if not self.day.trouble:
            return None
        end = max(trouble.at_s + trouble.for_s for trouble in self.day.trouble)
        offered, timely = self.course["offered"], self.course["timely"]
        good = [t >= 0.9 * o for o, t in zip(offered, timely, strict=True)]
        for place in range(int(end), len(good) - 2):
            if good[place] and good[place + 1]:
                return max(0.0, place - end)
        return float("inf")

    def jam(self) -> int:
        """The longest time in which less than half of what came was served in time (s)."""
        longest = current = 0
        for offered, timely in zip(self.course["offered"], self.course["timely"], strict=True):
            current = current + 1 if offered and timely < 0.5 * offered else 0
            longest = max(longest, current)
        return longest

    def plain(self) -> dict[str, Any]:
        """All of it, for a file."""
        for cls in range(len(self.fresh)):
            self.count(cls)
        return {
            "share": self.share,
            "quantiles": self.quantiles(),
            "classes": {
                cls.name: told.plain() | {"times": times.encode().decode()}
                for cls, told, times in zip(self.day.class_, self.classes, self.times, strict=True)
            },
            "tenants": {
                tenant.name: told.plain()
                for tenant, told in zip(self.day.tenant, self.tenants, strict=False)
            },
            "tries": self.tries,
            "attempts": self.attempts,
            "jam_s": self.jam(),
            "recovery_s": self.recovery(),
            "course": self.course,
        }
