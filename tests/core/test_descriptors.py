"""What the descriptors of a process are for: the roles' sum stays within the limit, whatever it
is."""

from __future__ import annotations

import pytest

from badgercart.core.descriptors import (
    MIN_CLIENT_DESCRIPTORS,
    MIN_UPSTREAM_DESCRIPTORS,
    DescriptorBudget,
    DescriptorLimitError,
)


@pytest.mark.parametrize("console", [False, True])
@pytest.mark.parametrize("parts", range(5))
def test_the_sum_of_all_roles_is_within_the_limit(console: bool, parts: int) -> None:
    refused = 0
    for limit in [*range(400), 1024, 20_000, 1_000_000]:
        try:
            ledger = DescriptorBudget.for_limit(limit, console, parts)
        except DescriptorLimitError:
            refused += 1
            continue
        clients, servers = ledger.split()
        assert clients >= MIN_CLIENT_DESCRIPTORS and servers >= MIN_UPSTREAM_DESCRIPTORS
        assert sum(ledger.reserved.values()) + clients + servers == limit
        for holders in range(1, 5):
            assert holders * sum(ledger.split(1 / holders)) <= ledger.shared
    assert 0 < refused < 100  # a limit of 100 does for any of these


def test_too_few_say_what_they_are_for() -> None:
    with pytest.raises(
        DescriptorLimitError, match=r"^40 are too few: program 20, .*console 13.*16 at least$"
    ):
        DescriptorBudget.for_limit(40, admin=True)
