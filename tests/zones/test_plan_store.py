"""The plan store: assembly of chunks, validation, and the maximum number of plans."""

from __future__ import annotations

import pytest

from badgercart.zones.consensus_messages import decode_chunk, split_plan
from badgercart.zones.errors import InvalidPlanError, PlanDigestError, PlanTooLargeError
from badgercart.zones.plan_codec import decode_plan, encode_plan
from badgercart.zones.plan_store import MAX_PLANS, PlanStore
from tests.zones.support import TOPOLOGY, plan


def store() -> PlanStore:
    """Return an empty store."""
    return PlanStore(lambda data: decode_plan(data, TOPOLOGY))


def test_a_plan_is_complete_with_its_last_chunk_in_any_order() -> None:
    """Gossip delivers chunks in any order, and more than once."""
    expected, plans = plan(1), store()
    data = encode_plan(expected)
    third = len(data) // 3
    pieces = [data[:third], data[third : 2 * third], data[2 * third :]]
    chunks = [
        decode_chunk(b"\x93\xc4\x08" + expected.digest + b"\x03\xc4" + bytes([len(piece)]) + piece)
        for piece in pieces
    ]
    assert not plans.add_chunk(2, chunks[2])
    assert not plans.add_chunk(0, chunks[0])
    assert expected.digest not in plans
    assert plans.incomplete_count == 1
    assert plans.add_chunk(1, chunks[1])
    assert plans.get(expected.digest) == expected
    assert plans.incomplete_count == 0
    assert not plans.add_chunk(1, chunks[1])


def test_chunks_under_the_digest_of_another_plan_are_rejected() -> None:
    """Nodes that vote for a digest must not use another plan."""
    ((_, payload),) = split_plan(plan(2).digest, encode_plan(plan(1)))
    with pytest.raises(PlanDigestError) as caught:
        store().add_chunk(0, decode_chunk(payload))
    assert (caught.value.expected, caught.value.actual) == (plan(2).digest, plan(1).digest)
    ((_, payload),) = split_plan(plan(2).digest, b"no plan")
    with pytest.raises(InvalidPlanError):
        store().add_chunk(0, decode_chunk(payload))


def test_the_oldest_unused_plans_are_removed() -> None:
    """The plan in force stays in the store, however many plans are proposed."""
    plans, all_plans = store(), [plan(number) for number in range(MAX_PLANS + 3)]
    for added in all_plans:
        plans.add(added.digest, added, {all_plans[0].digest})
    assert len(plans) == MAX_PLANS
    assert all_plans[0].digest in plans
    assert all_plans[1].digest not in plans
    assert all_plans[-1].digest in plans


def test_a_plan_with_too_many_chunks_is_rejected() -> None:
    """The error has the number of chunks and the maximum."""
    with pytest.raises(PlanTooLargeError) as caught:
        split_plan(bytes(8), bytes(440 * 32 + 1))
    assert (caught.value.chunks, caught.value.limit) == (33, 32)
