"""Measure the cost of a capture and the speed of its replay: `python -m benchmarks.capture`.

Sends the same requests through a request pipeline and its policy, alternating between capture on and
off. Prints the processor time of both, including the thread of the writer; the bytes per event and
per request; the speed of the replay relative to the captured time; and how long the process of
`capture explain` takes for a request in the middle of `--records` events. The throughput for a whole
request assumes the processor time that the HTTP frontend takes for one (`--front`, in µs, as measured
by `benchmarks.operator`).
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

REQUEST_CLASS = RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT)
REQUEST_INTERVAL_MS = 3.0
RESPONSE_TIME_MS = 40.0
REQUEST_TIMEOUT_MS = 1300.0
# The load generator waits for the writer while more bytes than this are queued.
MAX_QUEUED_BYTES = 1 << 20


class NoTimers:
    """Timers of a pipeline that must not need any."""

    def call_later(self, delay: float, callback: object, *args: object) -> asyncio.Handle:
        """Fail, because every request is sent at once."""
        raise AssertionError("no timer is expected")


class LoadGenerator:
    """An idle node whose first chosen server answers every request.

    It is also the client, the upstream and the receiver of errors of the capture writer.
    """

    def __init__(self, folder: Path | None) -> None:
        self.now = 0.0
        self.attempt: AttemptRequest | None = None
        self.pipeline = RequestPipeline(
            Settings(classes=(REQUEST_CLASS,), max_attempts=2), 1, NoTimers(), lambda: self.now
        )
        self.capture: CaptureWriter | None = None
        if folder is not None:
            settings = CaptureSettings(folder=str(folder))
            self.capture = CaptureWriter(
                settings,
                folder,
                "n",
                self.pipeline.policy,
                1,
                self.on_lost_events,
                self.on_write_error,
            )
            self.pipeline.decision_log = self.capture.record_event
        entries = [Endpoint(n, 0, 0, 0, EndpointState.READY, 2.0, 0.0) for n in range(1, 11)]
        self.pipeline.dispatch(EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))

    def on_lost_events(self, count: int) -> None:
        """Report events that the writer dropped."""
        print(f"{count} events were lost: the disk is too slow for this benchmark")

    def on_write_error(self, error: OSError) -> None:
        """Fail on an error of the writer."""
        raise RuntimeError(str(error))

    def send(self, attempt: AttemptRequest) -> None:
        """Hold the attempt until `run` answers it."""
        self.attempt = attempt

    def cancel(self, request_id: int, number: int) -> None:
        """Do nothing: no attempt is cancelled."""

    def client_is_gone(self) -> bool:
        """Return that the client is still connected."""
        return False

    def on_response(self, response: UpstreamResponse) -> None:
        """Discard the response."""

    def abandon_attempt(self, request_id: int, number: int) -> None:
        """Do nothing: attempts end at once."""

    def on_shed(self, retry_after_ms: float) -> None:
        """Ignore that a request was shed."""

    def on_failure(self, internal_error: bool) -> None:
        """Ignore that a request failed."""

    def run(self, requests: int) -> float:
        """Run so many requests and return the processor time of all threads in s."""
        started_at = time.process_time()
        for number in range(requests):
            self.now += REQUEST_INTERVAL_MS
            self.attempt = None
            request = IncomingRequest(0, 0, number % 500 + 1, self.now + REQUEST_TIMEOUT_MS, None)
            self.pipeline.accept(self.pipeline.next_request_id(), request, self, self)
            if (attempt := self.attempt) is not None:
                response = UpstreamResponse(200)
                self.pipeline.attempt_ended(
                    attempt.request_id,
                    attempt.attempt,
                    attempt.endpoint_id,
                    AttemptResult.OK,
                    RESPONSE_TIME_MS,
                    response,
                )
            while self.capture is not None and self.capture.disk.queued_bytes > MAX_QUEUED_BYTES:
                # A real node sends fewer requests, so that its writer keeps up.
                time.sleep(0.01)
        if self.capture is not None:
            self.capture.close()
        return time.process_time() - started_at


def measure_explain(records: int) -> None:
    """Measure `capture explain` for a request in the middle of a long capture."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        generator = LoadGenerator(folder)
        generator.run(records // 2)
        size_bytes = sum(path.stat().st_size for path in find_segments([folder_name]))
        command = [
            sys.executable,
            "-m",
            "badgercart",
            "capture",
            "explain",
            folder_name,
            str(records // 4),
        ]
        started_at = time.perf_counter()
        completed = subprocess.run(command, capture_output=True, text=True)
        elapsed_s = time.perf_counter() - started_at
        started_at = time.perf_counter()
        subprocess.run(
            [sys.executable, "-m", "badgercart", "capture", "--help"], capture_output=True
        )
        startup_s = time.perf_counter() - started_at
    if completed.returncode or "send to" not in completed.stdout:
        raise RuntimeError(f"explain failed: {completed.stdout}{completed.stderr}")
    print(
        f"explain in {records} events ({size_bytes >> 20} MiB): {elapsed_s:.2f} s, of which {startup_s:.2f} s is the start"
    )


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capture", description=__doc__)
    parser.add_argument("--requests", type=int, default=10_000, help="of each play (10,000)")
    parser.add_argument("--rounds", type=int, default=5, help="plays of each way, in turn (5)")
    parser.add_argument(
        "--records", type=int, default=1_000_000, help="events for explain (1,000,000)"
    )
    parser.add_argument(
        "--front", type=float, default=200.0, help="µs of a core for a whole request (200)"
    )
    arguments = parser.parse_args()
    without_capture_us, with_capture_us = [], []
    with tempfile.TemporaryDirectory() as folder_name:
        for round_number in range(arguments.rounds):
            without_capture_us.append(
                LoadGenerator(None).run(arguments.requests) / arguments.requests * 1e6
            )
            folder = Path(folder_name) / str(round_number)
            folder.mkdir()
            with_capture_us.append(
                LoadGenerator(folder).run(arguments.requests) / arguments.requests * 1e6
            )
        paths = find_segments([str(folder)])
        size_bytes = sum(path.stat().st_size for path in paths)
        started_at = time.process_time()
        replays = [replay(path) for path in paths]
        elapsed_s = time.process_time() - started_at
    events = sum(result.events for result in replays)
    if not all(result.identical for result in replays):
        print("the replay differs")
        return 1
    capture_cost_us = statistics.median(with_capture_us) - statistics.median(without_capture_us)
    throughput_share = arguments.front / (arguments.front + capture_cost_us)
    print(
        f"join and policy: {statistics.median(without_capture_us):.1f} µs a request, {capture_cost_us:.1f} more with the capture on"
    )
    print(
        f"of a whole request at {arguments.front:.0f} µs: throughput {throughput_share:.3f} of off"
    )
    print(
        f"{size_bytes / events:.1f} bytes an event, {size_bytes / arguments.requests:.1f} a request"
    )
    speedup = arguments.requests * REQUEST_INTERVAL_MS / 1000 / elapsed_s
    print(f"replay: {events / elapsed_s:.0f} events a second, {speedup:.0f} times real time")
    if arguments.records:
        measure_explain(arguments.records)
    return 0


if __name__ == "__main__":
    sys.exit(main())
