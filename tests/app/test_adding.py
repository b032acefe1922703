"""Runs the example frontend of docs/ADDING.md exactly as the page shows it.

The page promises that a frontend needs one package and one line in the registry.
"""

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
MAX_EXAMPLE_LINES = 90
SETTINGS_TEXT = """\
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


def test_the_example_frontend_serves_drains_and_has_its_settings_checked(tmp_path: Path) -> None:
    example = re.search(r"```python\n(\"\"\"A frontend.*?)```", PAGE.read_text(), re.DOTALL)
    assert example is not None
    assert example[1].count("\n") < MAX_EXAMPLE_LINES
    module = types.ModuleType("line_frontend")
    exec(compile(example[1], str(PAGE), "exec", dont_inherit=True), module.__dict__)
    known_components = (*declarations(), *module.COMPONENTS)
    path = tmp_path / "site.toml"

    async def test() -> None:
        server = await ScriptedServer().start()
        path.write_text(SETTINGS_TEXT.format(port=server.port))
        installation = load_installation(str(path), {}, known_components)
        application = Application(installation, asyncio.get_running_loop())
        await application.start()
        component = application.components["line"]
        port = component.server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"find cab7 8000\n")
        assert await asyncio.wait_for(reader.readline(), WAIT_S) == b"200 done\n"
        writer.close()
        await application.drain()
        assert not application.pipeline.in_flight
        assert not application.pipeline.open_attempts

    run(test())
    path.write_text(SETTINGS_TEXT.format(port=1).replace("listen", "listens"))
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path), {}, known_components)
    assert [problem.key for problem in caught.value.problems] == [
        "fronts.line",
        "fronts.line.listens",
    ]
