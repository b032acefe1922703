"""Plans are put together from their chunks, checked, and bounded in number."""

from __future__ import annotations

import pytest

from badgercart.zones.consensus_messages import decode_chunk, split_plan
from badgercart.zones.errors import InvalidPlanError, PlanDigestError, PlanTooLargeError
from badgercart.zones.plan_codec import decode_plan, encode_plan
from badgercart.zones.plan_store import MAX_PLANS, PlanStore
from tests.zones.support import TOPOLOGY, plan


def store() -> PlanStore:
    return PlanStore(lambda data: decode_plan(data, TOPOLOGY))


def test_a_plan_is_known_once_its_last_chunk_has_come_in_any_order() -> None:
    wanted, plans = plan(1), store()
    data = encode_plan(wanted)
    third = len(data) // 3
    pieces = [data[:third], data[third : 2 * third], data[2 * third :]]
    chunks = [
        decode_chunk(b"\x93\xc4\x08" + wanted.digest + b"\x03\xc4" + bytes([len(piece)]) + piece)
        for piece in pieces
    ]
    assert not plans.add_chunk(2, chunks[2])
    assert not plans.add_chunk(0, chunks[0])
    assert wanted.digest not in plans
    assert plans.incomplete_count == 1
    assert plans.add_chunk(1, chunks[1])
    assert plans.get(wanted.digest) == wanted
    assert plans.incomplete_count == 0
    assert not plans.add_chunk(1, chunks[1])


def test_chunks_under_the_digest_of_another_plan_are_rejected() -> None:
    ((_, payload),) = split_plan(plan(2).digest, encode_plan(plan(1)))
    with pytest.raises(PlanDigestError) as caught:
        store().add_chunk(0, decode_chunk(payload))
    assert (caught.value.expected, caught.value.actual) == (plan(2).digest, plan(1).digest)
    ((_, payload),) = split_plan(plan(2).digest, b"no plan")
    with pytest.raises(InvalidPlanError):
        store().add_chunk(0, decode_chunk(payload))


def test_the_oldest_plans_go_but_for_those_in_use() -> None:
    plans, all_plans = store(), [plan(number) for number in range(MAX_PLANS + 3)]
    for each in all_plans:
        plans.add(each.digest, each, {all_plans[0].digest})
    assert len(plans) == MAX_PLANS
    assert all_plans[0].digest in plans
    assert all_plans[1].digest not in plans
    assert all_plans[-1].digest in plans


def test_a_plan_of_too_many_chunks_names_both_numbers() -> None:
    with pytest.raises(PlanTooLargeError) as caught:
        split_plan(bytes(8), bytes(440 * 32 + 1))
    assert (caught.value.chunks, caught.value.limit) == (33, 32)
