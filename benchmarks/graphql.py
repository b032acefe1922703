"""Compare GraphQL with plain HTTP: throughput of one core, hostile documents, and the same day.

`python -m benchmarks.graphql` prints the results of one run; `--service` also runs a day through both
frontends.
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
from benchmarks.same_service import DayRun
from standins import http1
from standins.demo import FRONTS, NodeProcess
from standins.fleet import Fleet, operators_file
from standins.graphql import SCHEMA_FILE
from standins.traffic import (
    ASSIGN,
    Arrival,
    Result,
    draw_arrivals,
    exchange,
    result_of,
    send_arrivals,
    served_share,
)

# A document limit that accepts all hostile documents by their size.
LARGE_DOCUMENT_BYTES = 1 << 17
CLIENTS = 8
LOOKUP_DOCUMENT = "query L($p: String!) { cabLookup(pickup: $p) { pickup cabs { id minutes } } }"
ASSIGN_DOCUMENT = "mutation A($r: ID!, $k: String) { rideAssign(ride: $r, key: $k) { id server } }"
HOSTILE_DOCUMENTS = {
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


def request_body(arrival: Arrival) -> bytes:
    """Return the JSON body of the GraphQL request for an arrival."""
    if arrival.request_class is ASSIGN:
        variables = {"r": arrival.ride, "k": f"key-{arrival.request_id}"}
        return json.dumps({"query": ASSIGN_DOCUMENT, "variables": variables}).encode()
    return json.dumps({"query": LOOKUP_DOCUMENT, "variables": {"p": arrival.ride}}).encode()


async def send_graphql_request(
    address: str, arrival: Arrival, connections: http1.ConnectionPool
) -> Result:
    """Send an arrival as a GraphQL operation with one root field."""
    request_class, started_at = arrival.request_class, time.monotonic()
    headers = {
        "host": "x", "request-id": arrival.request_id, "tenant": arrival.tenant, "content-type": "application/json",
        "accept": "application/graphql-response+json", "request-timeout": f"{request_class.deadline_ms:.0f}m",
    }  # fmt: skip
    data = http1.request("POST", "/graphql", headers, request_body(arrival))
    response = await exchange(address, data, request_class.deadline_ms, connections)
    if response is not None and response.status == 200 and json.loads(response.body).get("errors"):
        # The only root field failed.
        response.start_line[1] = "502"
    return result_of(arrival, started_at, response)


def processor_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_rates(requests: int, rounds: int) -> None:
    """Measure requests per second of one core: plain HTTP, cached documents, new documents."""
    fleet = await Fleet(6, work={"cab-lookup": (0.0, 0.0), "ride-assign": (0.0, 0.0)}).start()
    node = NodeProcess(tuple(FRONTS))
    rates_by_variant: dict[str, list[float]] = {"plain HTTP": [], "cached": [], "uncached": []}
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "site.toml"
        text = operators_file(fleet.catalog.address, graphql=str(SCHEMA_FILE))
        config_path.write_text(text.replace("quota_per_s = ", "quota_per_s = 9999"))
        await node.start(config_path)
        from standins import traffic

        for round_number in range(rounds):
            for variant in rates_by_variant:
                generator = draw_arrivals(round_number * 100 + len(variant), 1000.0, 1e9)
                requests_of_round = [next(generator) for _ in range(requests)]
                connections, processor_s_before = (
                    http1.ConnectionPool(),
                    processor_seconds(node.process.pid),
                )

                async def send_requests(
                    own_requests: list[Arrival],
                    variant: str = variant,
                    client_connections: http1.ConnectionPool = connections,
                ) -> int:
                    served = 0
                    for arrival in own_requests:
                        if variant == "plain HTTP":
                            result = await traffic.send_request(
                                node.fronts["http"], arrival, client_connections
                            )
                        else:
                            result = await send_document(
                                node.fronts["graphql"],
                                arrival,
                                client_connections,
                                variant == "uncached",
                            )
                        served += result.status == 200
                    return served

                served = sum(
                    await asyncio.gather(
                        *(send_requests(requests_of_round[i::CLIENTS]) for i in range(CLIENTS))
                    )
                )
                rates_by_variant[variant].append(
                    served / (processor_seconds(node.process.pid) - processor_s_before)
                )
                connections.close()
        await node.stop()
    await fleet.stop()
    http_rate = statistics.median(rates_by_variant["plain HTTP"])
    for variant, values in rates_by_variant.items():
        rate = statistics.median(values)
        print(
            f"{variant}: {rate:.0f} served a second of one core, {rate / http_rate:.2f} of plain HTTP's"
        )


async def send_document(
    address: str, arrival: Arrival, connections: http1.ConnectionPool, new_document: bool
) -> Result:
    """Send an arrival, with a document that no cache has yet if `new_document`."""
    global LOOKUP_DOCUMENT, ASSIGN_DOCUMENT
    if new_document:
        # A comment is enough to make the document new to the cache.
        documents = LOOKUP_DOCUMENT, ASSIGN_DOCUMENT
        LOOKUP_DOCUMENT, ASSIGN_DOCUMENT = (f"{text} # {arrival.request_id}" for text in documents)
        try:
            return await send_graphql_request(address, arrival, connections)
        finally:
            LOOKUP_DOCUMENT, ASSIGN_DOCUMENT = documents
    return await send_graphql_request(address, arrival, connections)


def measure_hostile_documents() -> None:
    """Print the time and peak memory to read each hostile document under the limits."""
    for name, text in HOSTILE_DOCUMENTS.items():
        tracemalloc.start()
        started_at = time.perf_counter()
        for limits in (DocumentLimits(), DocumentLimits(document=LARGE_DOCUMENT_BYTES)):
            try:
                read_document(text, limits)
                outcome = "taken"
            except (DocumentLimitError, DocumentSyntaxError) as error:
                outcome = str(error)[:60]
        elapsed_s = time.perf_counter() - started_at
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        print(
            f"{name} ({len(text)} bytes): {elapsed_s * 1000:.1f} ms, {peak_bytes / 1024:.0f} KiB: {outcome}"
        )


class GraphqlDayRun(DayRun):
    """One run of a day through the HTTP or the GraphQL frontend."""

    async def run(self) -> list[Result]:
        """Run the day and return the results of all requests."""
        self.fleet = await Fleet(8, self.seed).start()
        node = NodeProcess(tuple(FRONTS))
        with tempfile.TemporaryDirectory() as folder:
            config_path = Path(folder) / "site.toml"
            config_path.write_text(
                operators_file(self.fleet.catalog.address, graphql=str(SCHEMA_FILE))
            )
            await node.start(config_path)
            faults = asyncio.ensure_future(self.inject_faults())
            if self.frontend == "http":
                results = await send_arrivals(node.fronts["http"], self.traffic)
            else:
                results = await send_arrivals(
                    node.fronts["graphql"], self.traffic, send_graphql_request
                )
            await faults
            if await node.stop():
                raise RuntimeError("the node exited with an error:\n" + "\n".join(node.lines))
        await self.fleet.stop()
        return results


async def compare_days(seed: int, rate: float, seconds: float) -> int:
    """Run a day through both frontends, print the shares of the value, and return the exit status."""
    shares, violations = [], []
    for frontend in ("http", "graphql"):
        day = GraphqlDayRun(frontend, seed, rate, seconds)
        results = await day.run()
        shares.append(served_share(results))
        violations += day.violations(results)
        print(f"{frontend}: worth served in time {shares[-1]:.3f}", flush=True)
    print(
        "\n".join(violations) or "all four rules held", f"; difference {shares[1] - shares[0]:+.3f}"
    )
    return 1 if violations else 0


def main() -> int:
    """Run the benchmark that the command line asks for."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.graphql", description=__doc__)
    parser.add_argument("--requests", type=int, default=2000, help="of each round (2000)")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--service", action="store_true", help="play a day both ways too")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=150.0, help="of the day (150)")
    parser.add_argument("--seconds", type=float, default=18.0, help="of the day (18)")
    arguments = parser.parse_args()
    measure_hostile_documents()
    asyncio.run(measure_rates(arguments.requests, arguments.rounds))
    return (
        asyncio.run(compare_days(arguments.seed, arguments.rate, arguments.seconds))
        if arguments.service
        else 0
    )


if __name__ == "__main__":
    sys.exit(main())
