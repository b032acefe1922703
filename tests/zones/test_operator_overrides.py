"""Operators' overrides: merging, validation and expiry."""

from __future__ import annotations

import pytest

from badgercart.zones.errors import InvalidOverridesError
from badgercart.zones.operator_overrides import (
    DRAIN,
    PIN,
    OperatorOverride,
    OperatorOverrides,
    encode_overrides,
)

DIGEST = 7


def test_the_latest_override_of_a_zone_counts_and_ties_go_by_name() -> None:
    """Nodes must agree on the override in force, in whatever order they receive overrides."""
    overrides = OperatorOverrides()
    first = OperatorOverride(1, DRAIN, 100, 900, "eva")
    for override, is_newer in (
        (first, True),
        (first, False),
        (OperatorOverride(1, PIN, 99, 900, "zoe"), False),
        (OperatorOverride(1, PIN, 100, 900, "ada"), False),
        (OperatorOverride(1, PIN, 100, 900, "zoe"), True),
    ):
        recorded = overrides.receive(encode_overrides(DIGEST, [override]), DIGEST, 3)
        assert recorded == ([override] if is_newer else [])
    assert overrides.action_for(1) == PIN
    assert overrides.action_for(2) == ""
    assert overrides.drained_zones() == set()


def test_overrides_of_another_topology_and_unknown_zones_or_actions_are_ignored() -> None:
    """Indexes of another topology mean other zones; malformed bytes raise an error."""
    overrides = OperatorOverrides()
    valid = OperatorOverride(1, DRAIN, 100, 900, "eva")
    assert overrides.receive(encode_overrides(DIGEST + 1, [valid]), DIGEST, 3) == []
    unknown = [OperatorOverride(3, DRAIN, 1, 2, "eva"), OperatorOverride(1, "burn", 1, 2, "eva")]
    assert overrides.receive(encode_overrides(DIGEST, unknown), DIGEST, 3) == []
    with pytest.raises(InvalidOverridesError):
        overrides.receive(b"junk", DIGEST, 3)
    assert overrides.by_zone == {}


def test_an_override_expires() -> None:
    """A forgotten drain must not last forever."""
    overrides = OperatorOverrides()
    override = OperatorOverride(1, DRAIN, 100, 900, "eva")
    overrides.receive(encode_overrides(DIGEST, [override]), DIGEST, 3)
    overrides.expire(899.0)
    assert overrides.drained_zones() == {1}
    overrides.expire(900.0)
    assert overrides.drained_zones() == set()
