"""What a capture costs, and how quickly it is replayed: `python -m benchmarks.capture`.

One run plays the same requests through a join and its policy with the capture on and off, in turn,
and prints the processor time of both, the writer's thread included; bytes an event and a request;
the replay's speed beside the time that was captured; and how long `capture explain` takes, as a
whole process, for a request in the middle of `--records` events. The share of a whole request is
against the processor time that the HTTP front takes for one (`--front`, in µs, as
`benchmarks.operator` gives it).
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from badgercart.capture.replay import find_segments, replay
from badgercart.capture.settings import CaptureSettings
from badgercart.capture.writer import CaptureWriter
from badgercart.core.ports import AttemptRequest, IncomingRequest, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import AttemptResult, EndpointUpdate, UpdateKind
from badgercart.policy.settings import Idempotency, RequestClass, Settings

CLASS = RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT)
GAP = 3.0  # ms between requests
TOOK = 40.0  # ms of an answer


class NoTimers:
    def call_later(self, delay: float, callback: object, *args: object) -> asyncio.Handle:
        raise AssertionError("nothing waits here")


class Load:
    """A calm node: every request is served at once by the first server that is chosen."""

    def __init__(self, folder: Path | None) -> None:
        self.now = 0.0
        self.order: AttemptRequest | None = None
        self.join = RequestPipeline(
            Settings(classes=(CLASS,), max_attempts=2), 1, NoTimers(), lambda: self.now
        )
        self.capture: CaptureWriter | None = None
        if folder is not None:
            settings = CaptureSettings(folder=str(folder))
            self.capture = CaptureWriter(
                settings, folder, "n", self.join.policy, 1, self.lost, self.broken
            )
            self.join.decision_log = self.capture.record_event
        entries = [Endpoint(n, 0, 0, 0, EndpointState.READY, 2.0, 0.0) for n in range(1, 11)]
        self.join.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))

    def lost(self, count: int) -> None:
        print(f"{count} events were lost: the disk is too slow for this benchmark")

    def broken(self, error: OSError) -> None:
        raise RuntimeError(str(error))

    def send(self, order: AttemptRequest) -> None:
        self.order = order

    def cancel(self, request_id: int, number: int) -> None: ...

    def client_is_gone(self) -> bool:
        return False

    def on_response(self, answer: UpstreamResponse) -> None: ...

    def abandon_attempt(self, request_id: int, number: int) -> None: ...

    def on_shed(self, retry_after_ms: float) -> None: ...

    def on_failure(self, internal_error: bool) -> None: ...

    def play(self, requests: int) -> float:
        """Processor time of all threads (s)."""
        begun = time.process_time()
        for number in range(requests):
            self.now += GAP
            self.order = None
            intake = IncomingRequest(0, 0, number % 500 + 1, self.now + 1300.0, None)
            self.join.accept(self.join.next_request_id(), intake, self, self)
            if (order := self.order) is not None:
                answer = UpstreamResponse(200)
                self.join.attempt_ended(
                    order.request_id,
                    order.attempt,
                    order.endpoint_id,
                    AttemptResult.OK,
                    TOOK,
                    answer,
                )
            while self.capture is not None and self.capture.disk.queued_bytes > 1 << 20:
                time.sleep(0.01)  # no node sends so many requests: the writer keeps up
        if self.capture is not None:
            self.capture.close()
        return time.process_time() - begun


def explain(records: int) -> None:
    """A request in the middle of a long capture."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        load = Load(folder)
        load.play(records // 2)
        size = sum(path.stat().st_size for path in find_segments([name]))
        command = [
            sys.executable,
            "-m",
            "badgercart",
            "capture",
            "explain",
            name,
            str(records // 4),
        ]
        begun = time.perf_counter()
        done = subprocess.run(command, capture_output=True, text=True)
        spent = time.perf_counter() - begun
        begun = time.perf_counter()
        subprocess.run(
            [sys.executable, "-m", "badgercart", "capture", "--help"], capture_output=True
        )
        bare = time.perf_counter() - begun
    if done.returncode or "send to" not in done.stdout:
        raise RuntimeError(f"explain failed: {done.stdout}{done.stderr}")
    print(
        f"explain in {records} events ({size >> 20} MiB): {spent:.2f} s, of which {bare:.2f} s is the start"
    )


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capture", description=__doc__)
    parser.add_argument("--requests", type=int, default=10_000, help="of each play (10,000)")
    parser.add_argument("--rounds", type=int, default=5, help="plays of each way, in turn (5)")
    parser.add_argument(
        "--records", type=int, default=1_000_000, help="events for explain (1,000,000)"
    )
    parser.add_argument(
        "--front", type=float, default=200.0, help="µs of a core for a whole request (200)"
    )
    chosen = parser.parse_args()
    off, on = [], []
    with tempfile.TemporaryDirectory() as name:
        for turn in range(chosen.rounds):
            off.append(Load(None).play(chosen.requests) / chosen.requests * 1e6)
            folder = Path(name) / str(turn)
            folder.mkdir()
            on.append(Load(folder).play(chosen.requests) / chosen.requests * 1e6)
        paths = find_segments([str(folder)])
        size = sum(path.stat().st_size for path in paths)
        begun = time.process_time()
        told = [replay(path) for path in paths]
        spent = time.process_time() - begun
    events = sum(part.events for part in told)
    if not all(part.identical for part in told):
        print("the replay differs")
        return 1
    cost = statistics.median(on) - statistics.median(off)
    share = chosen.front / (chosen.front + cost)
    print(
        f"join and policy: {statistics.median(off):.1f} µs a request, {cost:.1f} more with the capture on"
    )
    print(f"of a whole request at {chosen.front:.0f} µs: throughput {share:.3f} of off")
    print(f"{size / events:.1f} bytes an event, {size / chosen.requests:.1f} a request")
    times = chosen.requests * GAP / 1000 / spent
    print(f"replay: {events / spent:.0f} events a second, {times:.0f} times real time")
    if chosen.records:
        explain(chosen.records)
    return 0


if __name__ == "__main__":
    sys.exit(main())
