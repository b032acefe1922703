"""GraphQL beside plain HTTP: the rate of one core, hostile documents, and the same day both ways.

`python -m benchmarks.graphql` prints the figures of one run; `--service` plays the day too.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from badgercart.frontends.graphql.limits import (
    DocumentLimitError,
    DocumentSyntaxError,
    read_document,
)
from badgercart.frontends.graphql.settings import DocumentLimits
from benchmarks.same_service import Day
from standins import http1
from standins.demo import FRONTS, NodeProcess
from standins.fleet import Fleet, operators_file
from standins.graphql import SCHEMA_FILE
from standins.traffic import (
    ASSIGN,
    Arrival,
    Result,
    arrivals,
    exchange,
    play,
    result_of,
    served_share,
)

LOOKUP = "query L($p: String!) { cabLookup(pickup: $p) { pickup cabs { id minutes } } }"
BOOK = "mutation A($r: ID!, $k: String) { rideAssign(ride: $r, key: $k) { id server } }"
HOSTILE = {
    "aliases": "{ " + " ".join(f"a{i}: cabLookup(pickup: \"x\") {{ pickup }}" for i in range(1500)) + " }",
    "nesting": "{ a " * 2000 + "}" * 2000,
    "parentheses": "{ a(x: " + "[" * 30000,
    "fragments that double": "{ ...F0 } "
    + " ".join(f"fragment F{i} on Q {{ ...F{i + 1} b {{ ...F{i + 1} }} }}" for i in range(400)),
    "a circle": "{ ...A } " + " ".join(f"fragment F{i} on Q {{ ...F{(i + 1) % 900} }}" for i in range(900)),
    "directives": "{ a " + "@x " * 15000 + "}",
    "one long string": '{ a(x: "' + "y" * 60000 + '") }',
    "block strings": '{ a(x: """' + "\\n " * 20000 + '""") }',
    "numbers": "{ a(x: " + "9" * 60000 + ") }",
    "braces in a comment": "#" + "{" * 60000,
}  # fmt: skip


def body(arrival: Arrival) -> bytes:
    if arrival.kind is ASSIGN:
        variables = {"r": arrival.ride, "k": f"key-{arrival.name}"}
        return json.dumps({"query": BOOK, "variables": variables}).encode()
    return json.dumps({"query": LOOKUP, "variables": {"p": arrival.ride}}).encode()


async def ask(address: str, arrival: Arrival, connections: http1.Connections) -> Result:
    """The same arrival as a GraphQL operation of one part."""
    kind, began = arrival.kind, time.monotonic()
    headers = {
        "host": "x", "request-id": arrival.name, "tenant": arrival.tenant, "content-type": "application/json",
        "accept": "application/graphql-response+json", "request-timeout": f"{kind.deadline:.0f}m",
    }  # fmt: skip
    data = http1.request("POST", "/graphql", headers, body(arrival))
    answer = await exchange(address, data, kind.deadline, connections)
    if answer is not None and answer.status == 200 and json.loads(answer.body).get("errors"):
        answer.start[1] = "502"  # an error in place of the one part
    return result_of(arrival, began, answer)


def cpu(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def rates(requests: int, rounds: int) -> None:
    """Requests a second of the node's core, by turns: plain, cached documents, new documents."""
    fleet = await Fleet(6, work={"cab-lookup": (0.0, 0.0), "ride-assign": (0.0, 0.0)}).start()
    node = NodeProcess(tuple(FRONTS))
    found: dict[str, list[float]] = {"plain HTTP": [], "cached": [], "uncached": []}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "site.toml"
        text = operators_file(fleet.catalog.address, graphql=str(SCHEMA_FILE))
        path.write_text(text.replace("quota_per_s = ", "quota_per_s = 9999"))
        await node.start(path)
        from standins import traffic

        for turn in range(rounds):
            for way in found:
                generator = arrivals(turn * 100 + len(way), 1000.0, 1e9)
                coming = [next(generator) for _ in range(requests)]
                connections, before = http1.Connections(), cpu(node.process.pid)

                async def worker(
                    mine: list[Arrival], way: str = way, c: http1.Connections = connections
                ) -> int:
                    served = 0
                    for arrival in mine:
                        if way == "plain HTTP":
                            result = await traffic.ask(node.fronts["http"], arrival, c)
                        else:
                            result = await asked(
                                node.fronts["graphql"], arrival, c, way == "uncached"
                            )
                        served += result.status == 200
                    return served

                served = sum(await asyncio.gather(*(worker(coming[i::8]) for i in range(8))))
                found[way].append(served / (cpu(node.process.pid) - before))
                connections.close()
        await node.stop()
    await fleet.stop()
    base = statistics.median(found["plain HTTP"])
    for way, values in found.items():
        rate = statistics.median(values)
        print(f"{way}: {rate:.0f} served a second of one core, {rate / base:.2f} of plain HTTP's")


async def asked(
    address: str, arrival: Arrival, connections: http1.Connections, fresh: bool
) -> Result:
    global LOOKUP, BOOK
    if fresh:  # another document each time: a comment is enough
        kept = LOOKUP, BOOK
        LOOKUP, BOOK = (f"{text} # {arrival.name}" for text in kept)
        try:
            return await ask(address, arrival, connections)
        finally:
            LOOKUP, BOOK = kept
    return await ask(address, arrival, connections)


def hostile() -> None:
    """Worst time and memory of each, under the limits."""
    for name, text in HOSTILE.items():
        tracemalloc.start()
        start = time.perf_counter()
        for limits in (DocumentLimits(), DocumentLimits(document=1 << 17)):
            try:
                read_document(text, limits)
                said = "taken"
            except (DocumentLimitError, DocumentSyntaxError) as error:
                said = str(error)[:60]
        took = time.perf_counter() - start
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        print(f"{name} ({len(text)} bytes): {took * 1000:.1f} ms, {peak / 1024:.0f} KiB: {said}")


class GraphqlDay(Day):
    """A day over the GraphQL front."""

    async def play(self) -> list[Result]:
        self.fleet = await Fleet(8, self.seed).start()
        node = NodeProcess(tuple(FRONTS))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text(operators_file(self.fleet.catalog.address, graphql=str(SCHEMA_FILE)))
            await node.start(path)
            troubles = asyncio.ensure_future(self.troubles())
            if self.way == "http":
                results = await play(node.fronts["http"], self.coming)
            else:
                results = await play(node.fronts["graphql"], self.coming, ask)
            await troubles
            if await node.stop():
                raise RuntimeError("the node ended badly:\n" + "\n".join(node.lines))
        await self.fleet.stop()
        return results


async def service(seed: int, rate: float, seconds: float) -> int:
    shares, broken = [], []
    for way in ("http", "graphql"):
        day = GraphqlDay(way, seed, rate, seconds)
        results = await day.play()
        shares.append(served_share(results))
        broken += day.broken(results)
        print(f"{way}: worth served in time {shares[-1]:.3f}", flush=True)
    print("\n".join(broken) or "all four rules held", f"; difference {shares[1] - shares[0]:+.3f}")
    return 1 if broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.graphql", description=__doc__)
    parser.add_argument("--requests", type=int, default=2000, help="of each round (2000)")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--service", action="store_true", help="play a day both ways too")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=150.0, help="of the day (150)")
    parser.add_argument("--seconds", type=float, default=18.0, help="of the day (18)")
    chosen = parser.parse_args()
    hostile()
    asyncio.run(rates(chosen.requests, chosen.rounds))
    return asyncio.run(service(chosen.seed, chosen.rate, chosen.seconds)) if chosen.service else 0


if __name__ == "__main__":
    sys.exit(main())
