"""The model of the capacity page: roles, their requirements, and the mechanisms that are missing.

The roles of this system are in `system_roles`. This module does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from benchmarks.capacity.laws import ScalingLaw, break_share
from benchmarks.capacity.target import TARGET, Budget, Target


class Provenance(StrEnum):
    """Where a figure comes from: the weakest of all the sources that it depends on.

    `LIMIT` is a bound in the code. `EXTRAPOLATED` is a law's value beyond the measured sizes.
    `MODELLED` is calculated from measured figures by a formula. `GUESSED` depends on an assumption.
    `NOTHING` means that nothing exists that could be measured.
    """

    LIMIT = "limit"
    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    MODELLED = "modelled"
    GUESSED = "guessed"
    NOTHING = "nothing"


class Mechanism(StrEnum):
    """What would carry a requirement that nothing carries today; `EXISTING` if something does."""

    NUMBERED_CHANGES = "numbered changes, told to each node for what it serves"
    SERVICE_FLEETS = "a fleet for each service, with deterministic subsets"
    TENANT_SHARES = "tenants' shares kept where the tenant is hashed to"
    MEMBERSHIP_CELLS = "membership in cells"
    CELL_CONSENSUS = "evidence and votes gathered by cell"
    STATISTICS_SLICES = "what was learned kept for what a node serves, and written in slices"
    EXISTING = "what stands today"


MISSING_MECHANISMS = [mechanism for mechanism in Mechanism if mechanism is not Mechanism.EXISTING]


@dataclass(slots=True, frozen=True)
class Requirement:
    """One cost of a role, with its budget and the mechanism that has to carry it.

    Attributes:
        kind: state, messages in, messages out, processor, memory, time or limit.
        name: what the cost is, as the page words it.
        unit: the unit of the cost and of the budget.
        cost: the cost at a target.
        budget: the largest acceptable cost.
        mechanism: what carries it.
        laws: the scaling laws that the cost uses.
        assumptions: the names of the assumptions that the cost uses.
        is_law_value: whether the cost is a law's own value, without a formula.
        note: a remark for the page.
        break_share: the share of the target at which the cost exceeds the budget.
    """

    kind: str
    name: str
    unit: str
    cost: Callable[[Target], float]
    budget: Budget
    mechanism: Mechanism
    laws: tuple[ScalingLaw, ...] = ()
    assumptions: tuple[str, ...] = ()
    is_law_value: bool = False
    note: str = ""
    break_share: float = field(init=False)

    @property
    def cost_at_target(self) -> float:
        """The cost at the whole target."""
        return self.cost(TARGET)

    def __post_init__(self) -> None:
        share = break_share(lambda share: self.cost(TARGET.scaled(share)), self.budget.value)
        object.__setattr__(self, "break_share", share)

    @property
    def provenance(self) -> Provenance:
        """Where the cost comes from."""
        if math.isinf(self.cost_at_target):
            return Provenance.NOTHING
        if self.assumptions:
            return Provenance.GUESSED
        if self.laws:
            if not self.is_law_value:
                return Provenance.MODELLED
            return (
                Provenance.MEASURED
                if all(law.target_extrapolation == 1 for law in self.laws)
                else Provenance.EXTRAPOLATED
            )
        return (
            Provenance.LIMIT
            if self.budget.reason.startswith("limit in the code")
            else Provenance.MODELLED
        )


@dataclass(slots=True, frozen=True)
class Role:
    """A role of the system, which is a row of the page.

    Attributes:
        name: the role as the page words it.
        implementation: what fills the role today.
        state: the state that it keeps.
        requirements: its costs.
        required_mechanisms: the missing mechanisms without which the role cannot be carried.
    """

    name: str
    implementation: str
    state: str
    requirements: tuple[Requirement, ...]
    required_mechanisms: tuple[Mechanism, ...]

    @property
    def first_to_break(self) -> Requirement:
        """The requirement that exceeds its budget at the smallest share of the target."""
        return min(self.requirements, key=lambda requirement: requirement.break_share)


@dataclass(slots=True, frozen=True)
class RankedMechanism:
    """A missing mechanism and how soon its absence exceeds a budget.

    Attributes:
        mechanism: the missing mechanism.
        break_share: the smallest share of the target at which a requirement on it breaks.
        requirement: that requirement.
        role: the role of that requirement.
        dependent_roles: the names of all roles that require the mechanism.
    """

    mechanism: Mechanism
    break_share: float
    requirement: Requirement
    role: Role
    dependent_roles: tuple[str, ...]


def code_limit(value: float, unit: str, name: str) -> Budget:
    """Return the budget that a limit in the code sets; `name` is the dotted name of the limit."""
    return Budget(value, unit, f"limit in the code: `{name}`")


def nonexistent(_: Target) -> float:
    """Return the cost of something that does not exist: over any budget at any size."""
    return math.inf


def rank_mechanisms(roles: Sequence[Role]) -> list[RankedMechanism]:
    """Rank the missing mechanisms by the smallest share at which a requirement on them breaks.

    Of mechanisms with equal shares, the one that more roles depend on comes first.
    """
    ranked = []
    for mechanism in MISSING_MECHANISMS:
        candidates = [
            (requirement.break_share, role.name, requirement, role)
            for role in roles
            for requirement in role.requirements
        ]
        dependent = [item for item in candidates if item[2].mechanism is mechanism]
        dependent_roles = tuple(
            role.name for role in roles if mechanism in role.required_mechanisms
        )
        if dependent:
            share, _, requirement, role = min(dependent, key=lambda item: item[0])
            ranked.append(RankedMechanism(mechanism, share, requirement, role, dependent_roles))
    return sorted(ranked, key=lambda one: (one.break_share, -len(one.dependent_roles)))
