"""The descriptor budget: the sum over all roles stays within the limit, whatever it is."""

from __future__ import annotations

import pytest

from badgercart.core.descriptors import (
    MIN_CLIENT_DESCRIPTORS,
    MIN_UPSTREAM_DESCRIPTORS,
    DescriptorBudget,
    DescriptorLimitError,
)


@pytest.mark.parametrize("admin", [False, True])
@pytest.mark.parametrize("other_components", range(5))
def test_the_sum_of_all_roles_is_within_the_limit(admin: bool, other_components: int) -> None:
    too_low = 0
    for limit in [*range(400), 1024, 20_000, 1_000_000]:
        try:
            budget = DescriptorBudget.for_limit(limit, admin, other_components)
        except DescriptorLimitError:
            too_low += 1
            continue
        clients, servers = budget.split()
        assert clients >= MIN_CLIENT_DESCRIPTORS and servers >= MIN_UPSTREAM_DESCRIPTORS
        assert sum(budget.reserved.values()) + clients + servers == limit
        for holders in range(1, 5):
            assert holders * sum(budget.split(1 / holders)) <= budget.shared
    assert 0 < too_low < 100  # a limit of 100 is enough for any of these


def test_the_error_of_a_low_limit_names_what_each_role_reserves() -> None:
    with pytest.raises(
        DescriptorLimitError, match=r"^40 are too few: program 20, .*console 13.*16 at least$"
    ):
        DescriptorBudget.for_limit(40, admin=True)
