"""A new frontend is one package and one line: the code of docs/ADDING.md, run as it stands there."""

from __future__ import annotations

import asyncio
import re
import types
from pathlib import Path

import pytest

from badgercart.app.application import Application
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import load_installation
from badgercart.app.registry import declarations
from tests.net import WAIT_S, ScriptedServer, run

PAGE = Path(__file__).parent.parent.parent / "docs" / "ADDING.md"
FILE = """\
[[class]]
name = "find"
aim_ms = 5000
deadline_ms = 9000
worth = 2
effect = "safe"
[[members.server]]
name = "s-1"
address = "127.0.0.1:{port}"
[fronts.line]
listen = "127.0.0.1:0"
"""


def test_the_frontend_of_the_page_serves_drains_and_is_checked(tmp_path: Path) -> None:
    code = re.search(r"```python\n(\"\"\"A frontend.*?)```", PAGE.read_text(), re.DOTALL)
    assert code is not None
    assert code[1].count("\n") < 90
    module = types.ModuleType("line_front")
    exec(compile(code[1], str(PAGE), "exec", dont_inherit=True), module.__dict__)
    known = (*declarations(), *module.COMPONENTS)
    path = tmp_path / "site.toml"

    async def test() -> None:
        peer = await ScriptedServer().start()
        path.write_text(FILE.format(port=peer.port))
        site = Application(load_installation(str(path), {}, known), asyncio.get_running_loop())
        await site.start()
        port = site.components["line"].server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"find cab7 8000\n")
        assert await asyncio.wait_for(reader.readline(), WAIT_S) == b"200 done\n"
        writer.close()
        await site.drain()
        assert not site.pipeline.in_flight
        assert not site.pipeline.open_attempts

    run(test())
    path.write_text(FILE.format(port=1).replace("listen", "listens"))
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path), {}, known)
    assert [p.key for p in caught.value.problems] == ["fronts.line", "fronts.line.listens"]
