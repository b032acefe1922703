"""The tables of docs/CAPACITY.md, and the page with the tables inserted. No I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping, Sequence
from dataclasses import fields

from benchmarks.capacity.laws import MIN_SHARE, Runs, ScalingLaw, break_share
from benchmarks.capacity.requirements import NODES_PER_SERVER, POLICY_RUNS, list_bytes_law
from benchmarks.capacity.roles import RankedMechanism, Requirement, Role, rank_mechanisms
from benchmarks.capacity.scenarios import Scenario, all_scenarios, served_servers
from benchmarks.capacity.system_roles import distribution_roles, system_roles
from benchmarks.capacity.target import ASSUMPTIONS, BUDGETS, TARGET, Budget
from benchmarks.scale import SUBJECTS

Tables = dict[str, str]

NOT_BUILT = "Not run yet: `python -m benchmarks.scale --only distribution`."

# The start of a budget's reason where it is a limit in the code, as `code_limit` words it.
CODE_LIMIT_PREFIX = "limit in the code: "


class PageError(ValueError):
    """The markers of the page and the calculated tables do not match."""


def format_number(value: float, unit: str = "") -> str:
    """Return a value with three significant digits, and as a percentage if it is a share."""
    if unit.startswith("of ") and math.isfinite(value):
        return f"{format_percent(value)} {unit}"
    if math.isinf(value):
        return "nothing exists"
    if value == 0:
        text = "0"
    elif abs(value) >= 1e6:
        digits = max(0, 2 - int(math.log10(abs(value) / 1e6)))
        text = f"{value / 1e6:,.{digits}f} million"
    else:
        digits = max(0, 2 - math.floor(math.log10(abs(value))))
        text = f"{round(value, digits):,.{digits}f}"
        text = text.rstrip("0").rstrip(".") if "." in text else text
    return f"{text} {unit}".strip()


def format_percent(value: float) -> str:
    """Return a share as a percentage."""
    return f"{format_number(100 * value)}%"


def format_share(value: float) -> str:
    """Return the share of the target at which a budget breaks, as the page words it."""
    if value == 0:
        return "**0**"
    if math.isinf(value):
        return "not up to 100 times the target"
    if value <= MIN_SHARE:
        return "**at any size**"
    return (
        f"**{format_percent(value)}**" if value < 1 else f"{format_number(value)} times the target"
    )


def format_budget(budget: Budget) -> str:
    """Return a budget, with an asterisk if the operators did not set it."""
    return format_number(budget.value, budget.unit) + ("" if budget.set_by_operators else "*")


def format_optional(value: float | None, unit: str) -> str:
    """Return a value, or a dash where there is none."""
    return "-" if value is None else format_number(value, unit)


def law_references(laws: Sequence[ScalingLaw], ids: Mapping[str, str]) -> str:
    """Return the ids of laws in parentheses, or "" without laws."""
    return f" ({', '.join(ids[law.name] for law in laws)})" if laws else ""


def describe_source(requirement: Requirement, ids: Mapping[str, str]) -> str:
    """Return where a requirement's cost comes from, with its laws, assumptions, limit and note."""
    text = str(requirement.provenance) + law_references(requirement.laws, ids)
    if requirement.assumptions:
        text += ": " + ", ".join(requirement.assumptions)
    if requirement.budget.reason.startswith(CODE_LIMIT_PREFIX):
        text += f"; bound {requirement.budget.reason.removeprefix(CODE_LIMIT_PREFIX)}"
    return text + (f"; {requirement.note}" if requirement.note else "")


def markdown_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def target_table() -> str:
    """Return the table of the target; a field without a label appears under its own name."""
    labels = {
        "requests_per_s": "requests a second, at the peak",
        "config_changes_per_day": "changes of configuration a day",
        "machine_failures_per_day": "machines that fail on an ordinary day",
        "machine_restarts_per_day": "machines restarted or replaced a day",
        "control_machines": "machines set aside for control",
    }
    return markdown_table(
        ("what", "target"),
        [
            (labels.get(one.name, one.name), f"{getattr(TARGET, one.name):,}")
            for one in fields(TARGET)
        ],
    )


def first_to_break_table(roles: Sequence[Role]) -> str:
    """Return the table of the first requirement of each role that breaks."""
    rows = []
    for role in roles:
        requirement = role.first_to_break
        rows.append(
            (
                role.name,
                role.implementation,
                f"{requirement.name}: "
                f"{format_number(requirement.cost_at_target, requirement.unit)}",
                format_budget(requirement.budget),
                format_share(requirement.break_share),
                f"{requirement.mechanism}: **missing**",
            )
        )
    return markdown_table(
        ("role", "today", "breaks first, at the target", "budget", "at this share", "carried by"),
        rows,
    )


def requirements_table(roles: Sequence[Role], ids: Mapping[str, str]) -> str:
    """Return a table of requirements for each role."""
    parts = []
    for role in roles:
        rows = [
            (
                requirement.kind,
                requirement.name,
                format_number(requirement.cost_at_target, requirement.unit),
                format_budget(requirement.budget),
                format_share(requirement.break_share),
                describe_source(requirement, ids),
                str(requirement.mechanism),
            )
            for requirement in role.requirements
        ]
        header = ("what", "of which", "at the target", "budget", "breaks at", "from", "carried by")
        parts.append(
            f"**{role.name.capitalize()}.** Today: {role.implementation}. State: {role.state}.\n\n"
            f"{markdown_table(header, rows)}"
        )
    return "\n\n".join(parts)


def slopes_table(laws: Sequence[ScalingLaw], ids: Mapping[str, str]) -> str:
    """Return the table of the laws with their runs, ranges and exponents."""
    rows = []
    for law in laws:
        first, last, extrapolation = law.points[0], law.points[-1], law.target_extrapolation
        rows.append(
            (
                ids[law.name],
                law.name,
                f"`{law.run.command}` at {law.run.revision[:7]}",
                f"{format_number(first[0])} to {format_number(last[0])}",
                f"{format_number(first[1])} to {format_number(last[1])} {law.series.unit}",
                str(law.slope),
                "within" if extrapolation == 1 else f"{format_number(extrapolation)} times beyond",
            )
        )
    return markdown_table(
        ("", "slope", "run", "range", "cost", "exponent at the far end [95%]", "the target lies"),
        rows,
    )


def ranking_table(ranked: Sequence[RankedMechanism]) -> str:
    """Return the table of the missing mechanisms in their order."""
    rows = [
        (
            str(place),
            str(one.mechanism),
            format_share(one.break_share),
            f"{one.requirement.name} ({one.role.name}): "
            f"{format_number(one.requirement.cost_at_target, one.requirement.unit)} for "
            f"{format_budget(one.requirement.budget)}",
            f"{len(one.dependent_roles)}: {', '.join(one.dependent_roles)}",
        )
        for place, one in enumerate(ranked, 1)
    ]
    return markdown_table(
        ("", "missing", "smallest share", "what breaks there", "rows that rest on it"), rows
    )


def scenarios_table(scenarios: Sequence[Scenario], ids: Mapping[str, str]) -> str:
    """Return a table of figures for each load scenario."""
    parts = []
    for scenario in scenarios:
        rows = []
        for figure in scenario.figures:
            budget = (
                ""
                if figure.budget is None
                else format_number(figure.budget.value, figure.budget.unit)
            )
            assumptions = ": " + ", ".join(figure.assumptions) if figure.assumptions else ""
            rows.append(
                (
                    figure.name,
                    format_optional(figure.today, figure.unit),
                    format_optional(figure.scoped, figure.unit),
                    budget,
                    figure.over_budget,
                    f"{figure.provenance}{law_references(figure.laws, ids)}{assumptions}",
                )
            )
        header = ("what", "today", "told what it serves", "budget", "over it", "from")
        parts.append(f"**{scenario.name.capitalize()}**\n\n{markdown_table(header, rows)}")
    return "\n\n".join(parts)


def summary(runs: Runs, roles: Sequence[Role], ranked: Sequence[RankedMechanism]) -> str:
    """Return the three most important results as a list."""
    unfilled = [role.name for role in roles if role.first_to_break.break_share == 0]
    first_role = min(
        (role for role in roles if role.first_to_break.break_share > 0),
        key=lambda role: role.first_to_break.break_share,
    )
    share, below_one_percent = (
        first_role.first_to_break.break_share,
        sum(0 < role.first_to_break.break_share < 0.01 for role in roles),
    )
    nodes = format_number(math.ceil(TARGET.scaled(share).nodes))
    list_bytes, served = list_bytes_law(runs), served_servers()
    whole_list_s, served_list_s = (
        list_bytes(lines) / BUDGETS["bytes"].value for lines in (TARGET.servers, served)
    )
    memory = next(
        requirement
        for role in roles
        for requirement in role.requirements
        if requirement.kind == "memory" and requirement.name == "servers"
    )
    return "\n".join(
        (
            f"1. **{len(unfilled)} of {len(roles)} roles have nothing that does them**: "
            f"{' and '.join(unfilled)}. So *{ranked[0].mechanism}* comes first: "
            f"{len(ranked[0].dependent_roles)} roles rest on it.",
            f"2. **{format_percent(share)} of the target**, {nodes} nodes, is where the first of "
            f"the others breaks ({first_role.name}: {first_role.first_to_break.name}); with it "
            f"{below_one_percent} of {len(roles)} roles break below 1%.",
            f"3. **{format_number(memory.cost_at_target, memory.unit)}** is what all servers take "
            f"in the memory of a node, where "
            f"{format_number(memory.budget.value, memory.budget.unit)} is allowed for all of "
            f"control. To be told of them at a start takes {format_number(whole_list_s, 's')} at "
            f"17 KB a second; of the services that a node serves, if these are "
            f"{format_number(ASSUMPTIONS['served'].value)}, {format_number(served_list_s, 's')}.",
        )
    )


def law_break_share(law: ScalingLaw, size: float, budget: float) -> float:
    """Return the share of a size at which one law by itself breaks a budget."""
    return break_share(lambda share: law(share * size), budget)


def policy_comparison_table(runs: Runs) -> str:
    """Return the table of the policy's costs before and after it was optimized.

    The optimization removed its loops over all tenants and servers.
    """
    if not all(name in runs.runs for name in POLICY_RUNS):
        return "Not run anew yet: `python -m benchmarks.scale --only policy`."
    costs: tuple[tuple[str, str, str, dict[str, float], float, float], ...] = (
        (
            "decision",
            "servers",
            "99th",
            {"nodes_a_server": NODES_PER_SERVER},
            TARGET.servers,
            BUDGETS["decision"].value,
        ),
        ("decision", "tenants", "99th", {}, TARGET.tenants, BUDGETS["decision"].value),
        (
            "changed line",
            "servers",
            "mean",
            {"nodes_a_server": NODES_PER_SERVER},
            TARGET.servers,
            1000 * BUDGETS["standstill"].value,
        ),
        (
            "changed line",
            "servers",
            "mean",
            {"nodes": 1},
            TARGET.servers,
            1000 * BUDGETS["standstill"].value,
        ),
    )
    rows = []
    for name, over, statistic, fixed, size, budget in costs:
        after, before = (runs.law(run, name, over, statistic, **fixed) for run in POLICY_RUNS)
        shares = [law_break_share(law, size, budget) for law in (before, after)]
        rows.append(
            (
                after.name.partition(": ")[2],
                *(format_number(law(size), "µs") for law in (before, after)),
                format_number(budget, "µs"),
                *(format_share(one) for one in shares),
            )
        )
    return markdown_table(("cost", "before", "after", "budget", "broke at", "breaks at"), rows)


def missing_subjects(runs: Runs) -> str:
    """Return a sentence that lists the subjects without a run."""
    subjects = {run.subject for run in runs.runs.values()}
    missing = [name for name in SUBJECTS if name not in subjects]
    return (
        "Not run: " + ", ".join(missing) + "."
        if missing
        else "All subjects of `benchmarks.scale` were run."
    )


def budgets_table() -> str:
    """Return the table of the budgets, with who set them and why."""
    return markdown_table(
        ("budget", "by", "why"),
        [
            (
                format_number(budget.value, budget.unit),
                "the operators" if budget.set_by_operators else "given here*",
                budget.reason,
            )
            for budget in BUDGETS.values()
        ],
    )


def assumptions_table() -> str:
    """Return the table of the assumptions and their reasons."""
    return markdown_table(
        ("assumed", "value", "why"),
        [
            (name, format_number(assumption.value, assumption.unit), assumption.reason)
            for name, assumption in ASSUMPTIONS.items()
        ],
    )


def build_tables(runs: Runs) -> Tables:
    """Return all calculated parts of the page by name."""
    roles, scenarios, built_roles, policy_comparison = (
        system_roles(runs),
        all_scenarios(runs),
        distribution_roles(runs),
        policy_comparison_table(runs),
    )
    ids = {name: f"S{number}" for number, name in enumerate(runs.used_laws, 1)}
    return {
        "three": summary(runs, roles, rank_mechanisms(roles)),
        "target": target_table(),
        "first to break": first_to_break_table(roles),
        "ranking": ranking_table(rank_mechanisms(roles)),
        "needs": requirements_table(roles, ids),
        "told": requirements_table(built_roles, ids) if built_roles else NOT_BUILT,
        "mended": policy_comparison,
        "storms": scenarios_table(scenarios, ids),
        "not run": missing_subjects(runs),
        "slopes": slopes_table(list(runs.used_laws.values()), ids),
        "budgets": budgets_table(),
        "assumed": assumptions_table(),
    }


PART_PATTERN = re.compile(
    r"<!-- worked out: (?P<name>[^>]+?) -->\n(?P<text>.*?)<!-- end of (?P=name) -->", re.DOTALL
)


def update_page(page: str, tables: Mapping[str, str]) -> str:
    """Return the page with its marked parts replaced by the calculated tables.

    Raises:
        PageError: The markers of the page and the tables do not match.
    """
    complete = [match["name"] for match in PART_PATTERN.finditer(page)]
    opened = re.findall(r"<!-- worked out: ([^>]+?) -->", page)
    for name in opened:
        if name not in complete:
            raise PageError(f"the part {name!r} has no end marker")
        if opened.count(name) > 1:
            raise PageError(f"the part {name!r} occurs twice on the page")
        if name not in tables:
            raise PageError(f"there is no table for the part {name!r}, only: {', '.join(tables)}")
    for name in tables:
        if name not in opened:
            raise PageError(f"the page has no part {name!r}")

    def replacement(match: re.Match[str]) -> str:
        name = match["name"]
        return f"<!-- worked out: {name} -->\n{tables[name]}\n<!-- end of {name} -->"

    return PART_PATTERN.sub(replacement, page)


def differing_parts(page: str, tables: Mapping[str, str]) -> list[str]:
    """Return the names of the parts of the page that differ from the calculated tables.

    Raises:
        PageError: The markers of the page and the tables do not match.
    """
    update_page(page, tables)  # raises PageError
    return [
        match["name"]
        for match in PART_PATTERN.finditer(page)
        if match["text"] != tables[match["name"]] + "\n"
    ]
