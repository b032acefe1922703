"""The names, types, descriptions and labels of the metrics page, compared with golden files."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from badgercart.app.application import Application
from badgercart.app.file import load_installation
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.endpoint import Endpoint, EndpointState
from tests.app.test_file import ROOT, VALID_TEXT

GOLDEN = Path(__file__).parent / "golden"
LISTENING = 'listen = "127.0.0.1:0"\n'
DISPATCH = (ROOT / "deploy" / "dispatch.graphql").read_text()
PARTS = {
    "fronts": f"[fronts.processor]\n{LISTENING}[fronts.graphql]\n{LISTENING}schema = 'dispatch.graphql'\n"
    "[[fronts.graphql.field]]\nname = 'Query.cabLookup'\nclass = 'find'\n"
    "[[fronts.graphql.field]]\nname = 'Mutation.rideAssign'\nclass = 'book'\n",
    "peers-zones": "[node]\nname = 'n0'\nzone = 'a'\n[peers]\nlisten = '127.0.0.1:7946'\ngroup = 'g'\n"
    "secret = 'sixteen characters'\n[zones]\nserves = 1.0\n",
    "kept": "[capture]\nfolder = '{folder}'\n[learning]\nfolder = '{folder}'\n",
    "store": "[distribution]\nname = 's'\nlisten = '127.0.0.1:7401'\ngroup = 'g'\n"
    "secret = 'sixteen characters'\nfolder = '{folder}'\n[[distribution.store]]\nname = 's'\n"
    "address = '127.0.0.1:7401'\nvoter = true\n",
    "etcd": "[members.etcd]\nendpoints = ['127.0.0.1:2379']\nprefix = '/x/'\n",
    "distribution": "[members.distribution]\ngroup = 'g'\nsecret = 'sixteen characters'\n"
    "stores = ['127.0.0.1:7401']\nservice = 'x'\n",
}
# Parts that replace the servers in the file.
LIST_SOURCES = ("etcd", "distribution")


def without_values(page: bytes) -> str:
    """Return the page without the values of its metrics."""
    lines = page.decode().splitlines()
    return "".join(
        (line if line.startswith("#") else line.rpartition(" ")[0]) + "\n"
        for line in lines
        if "_created" not in line
    )


@pytest.mark.parametrize("part", PARTS)
def test_the_metrics_of_each_part_are_unchanged(tmp_path: Path, part: str) -> None:
    text = VALID_TEXT
    if part in LIST_SOURCES:
        start, end = VALID_TEXT.index("[[members.server]]"), VALID_TEXT.index("[fronts.http]")
        text = VALID_TEXT[:start] + VALID_TEXT[end:]
    (tmp_path / "dispatch.graphql").write_text(DISPATCH)
    (tmp_path / "site.toml").write_text(
        text + PARTS[part].format(folder=tmp_path) + f"[metrics]\n{LISTENING}"
    )

    async def page() -> bytes:
        application = Application(
            load_installation(str(tmp_path / "site.toml"), {}), asyncio.get_running_loop()
        )
        for state in EndpointState:
            entry = Endpoint(int(state), 0, 0, 0, state, 1.0, 0.0)
            application.endpoint_table.listed[int(state)] = DiscoveredEndpoint(
                entry, ("127.0.0.1", 1), f"s{state}"
            )
        text: bytes = application.components["metrics"].page.render()  # type: ignore[attr-defined]
        application.close()
        return text

    assert without_values(asyncio.run(page())) == (GOLDEN / f"metrics-{part}.txt").read_text()
