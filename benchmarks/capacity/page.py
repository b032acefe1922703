"""The tables of docs/CAPACITY.md, and the page with them put in. No I/O."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping, Sequence
from dataclasses import fields

from benchmarks.capacity.laws import LEAST, Law, Runs, break_share
from benchmarks.capacity.rows import (
    A_SERVER,
    POLICY,
    Need,
    Ranked,
    Role,
    line_bytes,
    ranking,
    roles,
    told,
)
from benchmarks.capacity.storms import Storm, served_servers, storms
from benchmarks.capacity.target import ASSUMED, BUDGETS, TARGET, Budget
from benchmarks.scale import SUBJECTS

Tables = dict[str, str]
NOT_BUILT = "Not run yet: `python -m benchmarks.scale --only distribution`."
LIMIT = "limit in the code: "  # as `rows.limit` words it


class PageError(ValueError):
    """The page and what is worked out don't go together: where."""


def number(value: float, unit: str = "") -> str:
    """Three digits, as people read them; parts of something as percents."""
    if unit.startswith("of ") and math.isfinite(value):
        return f"{percent(value)} {unit}"
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


def percent(value: float) -> str:
    return f"{number(100 * value)}%"


def share(value: float) -> str:
    if value == 0:
        return "**0**"
    if math.isinf(value):
        return "not up to 100 times the target"
    if value <= LEAST:
        return "**at any size**"
    return f"**{percent(value)}**" if value < 1 else f"{number(value)} times the target"


def marks(laws: Sequence[Law], ids: Mapping[str, str]) -> str:
    return f" ({', '.join(ids[law.name] for law in laws)})" if laws else ""


def source(need: Need, ids: Mapping[str, str]) -> str:
    told = str(need.tag) + marks(need.laws, ids)
    if need.assumed:
        told += ": " + ", ".join(need.assumed)
    if need.budget.why.startswith(LIMIT):
        told += f"; bound {need.budget.why.removeprefix(LIMIT)}"
    return told + (f"; {need.note}" if need.note else "")


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def target_table() -> str:
    words = {"requests": "requests a second, at the peak", "changes": "changes of configuration a day",
             "failures": "machines that fail on an ordinary day",
             "restarts": "machines restarted or replaced a day",
             "machines": "machines set aside for control"}  # fmt: skip
    return table(
        ("what", "target"),
        [
            (words.get(one.name, one.name), f"{getattr(TARGET, one.name):,}")
            for one in fields(TARGET)
        ],
    )


def first_table(found: Sequence[Role]) -> str:
    rows = []
    for role in found:
        need = role.first
        rows.append((
            role.name, role.today, f"{need.what}: {number(need.at_target, need.unit)}",
            number_of(need.budget), share(need.share), f"{need.mechanism}: **missing**",
        ))  # fmt: skip
    return table(
        ("role", "today", "breaks first, at the target", "budget", "at this share", "carried by"),
        rows,
    )


def number_of(budget: Budget) -> str:
    return number(budget.value, budget.unit) + ("" if budget.letter else "*")


def needs_table(found: Sequence[Role], ids: Mapping[str, str]) -> str:
    parts = []
    for role in found:
        rows = [
            (need.kind, need.what, number(need.at_target, need.unit), number_of(need.budget),
             share(need.share), source(need, ids), str(need.mechanism))
            for need in role.needs
        ]  # fmt: skip
        head = ("what", "of which", "at the target", "budget", "breaks at", "from", "carried by")
        parts.append(
            f"**{role.name.capitalize()}.** Today: {role.today}. State: {role.state}.\n\n{table(head, rows)}"
        )
    return "\n\n".join(parts)


def slopes_table(laws: Sequence[Law], ids: Mapping[str, str]) -> str:
    rows = []
    for law in laws:
        least, most, beyond = law.points[0], law.points[-1], law.left
        rows.append((
            ids[law.name], law.name, f"`{law.run.command}` at {law.run.revision[:7]}",
            f"{number(least[0])} to {number(most[0])}",
            f"{number(least[1])} to {number(most[1])} {law.series.unit}", str(law.slope),
            "within" if beyond == 1 else f"{number(beyond)} times beyond",
        ))  # fmt: skip
    return table(
        ("", "slope", "run", "range", "cost", "exponent at the far end [95%]", "the target lies"),
        rows,
    )


def ranking_table(ranked: Sequence[Ranked]) -> str:
    rows = [
        (str(place), str(one.mechanism), share(one.share),
         f"{one.need.what} ({one.role.name}): {number(one.need.at_target, one.need.unit)} for "
         f"{number_of(one.need.budget)}", f"{len(one.rows)}: {', '.join(one.rows)}")
        for place, one in enumerate(ranked, 1)
    ]  # fmt: skip
    return table(
        ("", "missing", "smallest share", "what breaks there", "rows that rest on it"), rows
    )


def cell(value: float | None, unit: str) -> str:
    return "-" if value is None else number(value, unit)


def storms_table(found: Sequence[Storm], ids: Mapping[str, str]) -> str:
    parts = []
    for storm in found:
        rows = []
        for figure in storm.figures:
            budget = (
                "" if figure.budget is None else number(figure.budget.value, figure.budget.unit)
            )
            assumed = ": " + ", ".join(figure.assumed) if figure.assumed else ""
            rows.append((
                figure.what, cell(figure.today, figure.unit), cell(figure.told, figure.unit), budget,
                figure.over,
                f"{figure.tag}{marks(figure.laws, ids)}{assumed}",
            ))  # fmt: skip
        head = ("what", "today", "told what it serves", "budget", "over it", "from")
        parts.append(f"**{storm.name.capitalize()}**\n\n{table(head, rows)}")
    return "\n\n".join(parts)


def three(runs: Runs, found: Sequence[Role], ranked: Sequence[Ranked]) -> str:
    """The figures for whoever reads no further."""
    none = [role.name for role in found if role.first.share == 0]
    first = min((role for role in found if role.first.share > 0), key=lambda role: role.first.share)
    at, few = first.first.share, sum(0 < role.first.share < 0.01 for role in found)
    nodes = number(math.ceil(TARGET.at(at).nodes))
    size, served = line_bytes(runs), served_servers()
    whole, part = (size(lines) / BUDGETS["bytes"].value for lines in (TARGET.servers, served))
    servers = next(
        n for role in found for n in role.needs if n.kind == "memory" and n.what == "servers"
    )
    return "\n".join((
        f"1. **{len(none)} of {len(found)} roles have nothing that does them**: {' and '.join(none)}. "
        f"So *{ranked[0].mechanism}* comes first: {len(ranked[0].rows)} roles rest on it.",
        f"2. **{percent(at)} of the target**, {nodes} nodes, is where the first of the others breaks "
        f"({first.name}: {first.first.what}); with it {few} of {len(found)} roles break below 1%.",
        f"3. **{number(servers.at_target, servers.unit)}** is what all servers take in the memory of a node, "
        f"where {number(servers.budget.value, servers.budget.unit)} is allowed for all of control. To be "
        f"told of them at a start takes {number(whole, 's')} at 17 KB a second; of the services that a node "
        f"serves, if these are {number(ASSUMED['served'].value)}, {number(part, 's')}.",
    ))  # fmt: skip


def breaks(law: Law, size: float, budget: float) -> float:
    """The share at which one law by itself breaks a budget."""
    return break_share(lambda part: law(part * size), budget)


def mended_table(runs: Runs) -> str:
    """The policy before and after its loops over all tenants and servers were mended."""
    if not all(name in runs.runs for name in POLICY):
        return "Not run anew yet: `python -m benchmarks.scale --only policy`."
    wanted: tuple[tuple[str, str, str, dict[str, float], float, float], ...] = (
        ("decision", "servers", "99th", {"nodes_a_server": A_SERVER}, TARGET.servers,
         BUDGETS["decision"].value),
        ("decision", "tenants", "99th", {}, TARGET.tenants, BUDGETS["decision"].value),
        ("changed line", "servers", "mean", {"nodes_a_server": A_SERVER}, TARGET.servers,
         1000 * BUDGETS["standstill"].value),
        ("changed line", "servers", "mean", {"nodes": 1}, TARGET.servers, 1000 * BUDGETS["standstill"].value),
    )  # fmt: skip
    rows = []
    for name, over, statistic, fixed, size, budget in wanted:
        after, before = (runs.law(run, name, over, statistic, **fixed) for run in POLICY)
        shares = [breaks(law, size, budget) for law in (before, after)]
        rows.append((
            after.name.partition(": ")[2], *(number(law(size), "µs") for law in (before, after)),
            number(budget, "µs"), *(share(one) for one in shares),
        ))  # fmt: skip
    return table(("cost", "before", "after", "budget", "broke at", "breaks at"), rows)


def not_run(runs: Runs) -> str:
    subjects = {run.subject for run in runs.runs.values()}
    missing = [name for name in SUBJECTS if name not in subjects]
    return (
        "Not run: " + ", ".join(missing) + "."
        if missing
        else "All subjects of `benchmarks.scale` were run."
    )


def budgets_table() -> str:
    return table(
        ("budget", "by", "why"),
        [
            (number(b.value, b.unit), "the operators" if b.letter else "given here*", b.why)
            for b in BUDGETS.values()
        ],
    )


def assumed_table() -> str:
    return table(
        ("assumed", "value", "why"),
        [(name, number(a.value, a.unit), a.why) for name, a in ASSUMED.items()],
    )


def tables(runs: Runs) -> Tables:
    """All parts of the page, by name."""
    found, bad, anew, mended = roles(runs), storms(runs), told(runs), mended_table(runs)
    ids = {name: f"S{number}" for number, name in enumerate(runs.used, 1)}
    return {
        "three": three(runs, found, ranking(found)),
        "target": target_table(),
        "first to break": first_table(found),
        "ranking": ranking_table(ranking(found)),
        "needs": needs_table(found, ids),
        "told": needs_table(anew, ids) if anew else NOT_BUILT,
        "mended": mended,
        "storms": storms_table(bad, ids),
        "not run": not_run(runs),
        "slopes": slopes_table(list(runs.used.values()), ids),
        "budgets": budgets_table(),
        "assumed": assumed_table(),
    }


PART = re.compile(
    r"<!-- worked out: (?P<name>[^>]+?) -->\n(?P<text>.*?)<!-- end of (?P=name) -->", re.DOTALL
)


def renewed(page: str, worked_out: Mapping[str, str]) -> str:
    """The page with its marked parts as they are worked out now. PageError where parts and marks
    differ."""
    marks = [match["name"] for match in PART.finditer(page)]
    opened = re.findall(r"<!-- worked out: ([^>]+?) -->", page)
    for name in opened:
        if name not in marks:
            raise PageError(f"the part {name!r} has no end")
        if opened.count(name) > 1:
            raise PageError(f"the part {name!r} stands there twice")
        if name not in worked_out:
            raise PageError(
                f"nothing works out a part {name!r}; there are: {', '.join(worked_out)}"
            )
    for name in worked_out:
        if name not in opened:
            raise PageError(f"the page has no part {name!r}")

    def part(match: re.Match[str]) -> str:
        name = match["name"]
        return f"<!-- worked out: {name} -->\n{worked_out[name]}\n<!-- end of {name} -->"

    return PART.sub(part, page)


def differing(page: str, worked_out: Mapping[str, str]) -> list[str]:
    """Names of the parts that the page has otherwise."""
    renewed(page, worked_out)  # which says what is wrong with the marks
    return [
        match["name"]
        for match in PART.finditer(page)
        if match["text"] != worked_out[match["name"]] + "\n"
    ]
