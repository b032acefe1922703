"""The metrics page: its values, limits against hostile names, and that it serves nothing else."""

from __future__ import annotations

import asyncio
import re
from dataclasses import replace

import pytest
from prometheus_client.parser import text_string_to_metric_families

from badgercart.app.application import Application
from badgercart.app.file import Installation
from badgercart.core.metric_registry import (
    MAX_LABEL_VALUES,
    OTHER_LABEL_VALUE,
    Metric,
    MetricKind,
    MetricRegistry,
)
from badgercart.frontends.http.component import HttpSettings
from badgercart.metrics.component import MetricsSettings
from badgercart.metrics.exposition import MAX_BUCKETS, bucket_bounds_s
from badgercart.policy.settings import Idempotency, RequestClass
from tests.net import Client, ScriptedServer, config, field, operator_entry, request, run


def values(text: str) -> dict[str, float]:
    return {
        sample.name + "".join(f",{v}" for _, v in sorted(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_metrics_count_served_and_rejected_requests_and_hostile_names_add_nothing() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        address = ("127.0.0.1", 0)
        parts = {
            "http": HttpSettings(listen=address),
            "metrics": MetricsSettings(listen=address),
            "server": (operator_entry(peer.entry("s-1")),),
        }
        application = Application(Installation(config(1), parts), asyncio.get_running_loop())
        await application.start()
        http = application.components["http"].frontend.listener.address  # type: ignore[attr-defined]
        metrics = application.components["metrics"].listener.address  # type: ignore[attr-defined]

        async def page() -> dict[str, float]:
            client = Client(*await asyncio.open_connection(*metrics))
            status, head, body = await client.ask(b"GET /metrics HTTP/1.1\r\n\r\n")
            client.writer.close()
            assert (
                status == 200
                and field(head, b"Content-Type")
                == (b"text/plain; version=1.0.0; charset=utf-8; escaping=underscores")
            ) or re.match(rb"text/plain", field(head, b"Content-Type") or b"")
            return values(body.decode())

        before = await page()
        client = Client(*await asyncio.open_connection(*http))
        for _ in range(3):
            assert (await client.ask(request()))[0] == 200
        # Each request has another id, tenant and path.
        for number in range(200):
            odd = request(f"class{number}", Request_Id=f'{number}\\n"', Tenant=f"t{number}")
            assert (await client.ask(odd))[0] in (400, 404)
            client.writer.close()
            client = Client(*await asyncio.open_connection(*http))
        after = await page()
        assert after["badgercart_requests_total,find,served"] == 3.0
        assert after["badgercart_request_seconds_count,find"] == 3.0
        assert (
            sum(
                value
                for name, value in after.items()
                if name.startswith("badgercart_http_turned_away_total")
            )
            == 200.0
        )
        assert after["badgercart_servers,ready"] == 1.0
        assert after["badgercart_cut"] == 0.0
        # Only the two statuses were added.
        assert len(after) <= len(before) + 2
        scraper = Client(*await asyncio.open_connection(*metrics))
        status, head, body = await scraper.ask(request())
        assert status == 404
        assert b"figures are at /metrics" in body
        await application.drain()

    run(test())


def test_label_values_are_limited_and_names_are_validated() -> None:
    readings = {f"proxy-{n}": float(n) for n in range(500)}
    found = Metric("a_total", "", MetricKind.COUNTER, lambda: readings, "proxy").values()
    assert len(found) == MAX_LABEL_VALUES
    assert sum(found.values()) == sum(readings.values())
    assert found["proxy-499"] == 499.0
    assert OTHER_LABEL_VALUE in found
    registry = MetricRegistry()
    registry.gauge("a", "", lambda: 1.0)
    for name, words in (
        ("a", "the metric a is already registered"),
        ("no name", "'no name' is not a valid metric name"),
    ):
        with pytest.raises(ValueError, match=words):
            registry.gauge(name, "", lambda: 1.0)


def test_buckets_follow_the_latency_objectives_and_are_bounded() -> None:
    one = RequestClass(
        latency_objective_ms=400.0,
        deadline_ms=1000.0,
        priority_weight=1.0,
        idempotency=Idempotency.IDEMPOTENT,
    )
    assert bucket_bounds_s([one]) == (0.04, 0.1, 0.2, 0.3, 0.4, 1.0)
    many = [replace(one, latency_objective_ms=10.0 * n, deadline_ms=20.0 * n) for n in range(1, 60)]
    found = bucket_bounds_s(many)
    assert len(found) == MAX_BUCKETS
    assert found[-1] == 1.18
    assert list(found) == sorted(set(found))
