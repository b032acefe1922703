"""Components that fail, hang or need each other, and the effect on the other components."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from badgercart.app import application as application_module
from badgercart.app.application import Application, ComponentStartError
from badgercart.app.component import (
    ComponentDeclaration,
    ComponentHost,
    ComponentKind,
    ReloadError,
    start_order,
)
from badgercart.app.errors import OrderError
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import Installation, load_installation
from badgercart.app.model import Table
from badgercart.app.run import run as serve
from tests.net import WAIT_S, config, run


class NumberedSettings(Table):
    """The settings of a scripted component."""

    number: int = 0


class ScriptedComponent:
    """A component with scripted faults, which logs the calls that it gets."""

    def __init__(self, name: str, log: list[str], faults: dict[str, Any]) -> None:
        self.name, self.log, self.faults, self.number = name, log, faults, 0

    async def run_call(self, call: str) -> None:
        """Record a call, then hang or raise if a fault is set for it."""
        self.log.append(f"{call} {self.name}")
        fault = self.faults.get(f"{call} {self.name}")
        if fault == "hang":
            await asyncio.get_running_loop().create_future()
        elif fault is not None:
            raise fault

    async def start(self) -> None:
        """Record the start."""
        await self.run_call("start")

    def prepare(self, settings: NumberedSettings) -> Callable[[], None]:
        """Return a function that applies the new number; reject a number below 0."""
        if settings.number < 0:
            raise ReloadError(f"{settings.number} is below 0")
        return lambda: setattr(self, "number", settings.number)

    async def drain(self, deadline_ms: float) -> None:
        """Record the drain."""
        await self.run_call("drain")

    def close(self) -> None:
        """Record the close, and raise if a fault is set for it."""
        self.log.append(f"close {self.name}")
        if (fault := self.faults.get(f"close {self.name}")) is not None:
            raise fault


def component_declarations(
    log: list[str], faults: dict[str, Any], **needs: tuple[str, ...]
) -> tuple[ComponentDeclaration, ...]:
    def declare(name: str, required: tuple[str, ...]) -> ComponentDeclaration:
        def build(host: ComponentHost, settings: Any) -> ScriptedComponent:
            if (fault := faults.get(f"build {name}")) is not None:
                raise fault
            return ScriptedComponent(name, log, faults)

        kind = {"list": ComponentKind.DISCOVERY, "front": ComponentKind.FRONTEND}.get(
            name, ComponentKind.SERVICE
        )
        return ComponentDeclaration(
            name, (name,), kind, NumberedSettings, name, build, required, reloads=("*",)
        )

    return tuple(declare(name, required) for name, required in needs.items())


def installation(log: list[str], **faults: Any) -> Installation:
    known = component_declarations(
        log,
        {name.replace("_", " "): fault for name, fault in faults.items()},
        front=("members",),
        list=(),
        extra=("front",),
    )
    return Installation(
        config(1), {part.name: NumberedSettings() for part in known}, known_components=known
    )


def test_components_start_by_need_and_end_in_the_reverse_order() -> None:
    async def test() -> None:
        log: list[str] = []
        application = Application(installation(log), asyncio.get_running_loop())
        await application.start()
        await application.drain()
        order = ["list", "front", "extra"]
        assert log == [f"start {name}" for name in order] + [
            f"{act} {name}" for act in ("drain", "close") for name in reversed(order)
        ]

    run(test())


@pytest.mark.parametrize("fault", [OSError("taken"), ImportError("no lib"), RuntimeError("odd")])
def test_a_component_that_does_not_start_names_itself_and_closes_those_before_it(
    fault: Exception,
) -> None:
    async def test() -> None:
        log: list[str] = []
        application = Application(installation(log, start_front=fault), asyncio.get_running_loop())
        with pytest.raises(ComponentStartError, match=f"front does not start: {fault}"):
            await application.start()
        assert log == ["start list", "start front", "close extra", "close front", "close list"]
        with pytest.raises(ComponentStartError, match="extra does not start: no disk"):
            Application(
                installation(log, build_extra=OSError("no disk")), asyncio.get_running_loop()
            )
        assert log[-2:] == ["close front", "close list"]

    run(test())


def test_a_component_that_hangs_in_drain_is_closed_and_the_others_are_drained(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # The deadline of the drain is over at once.
    monkeypatch.setattr(application_module, "ACCEPT_DURATION_MS", -1e9)
    monkeypatch.setattr(application_module, "DRAIN_OVERRUN_MS", 20.0)

    async def test() -> None:
        log: list[str] = []
        faults = {
            "drain_front": "hang",
            "drain_extra": RuntimeError("odd"),
            "close_front": RuntimeError("odd"),
        }
        application = Application(installation(log, **faults), asyncio.get_running_loop())
        await application.start()
        async with asyncio.timeout(WAIT_S):
            await application.drain()
        assert log[3:] == [
            "drain extra",
            "drain front",
            "drain list",
            "close extra",
            "close front",
            "close list",
        ]

    run(test())
    messages = [record.getMessage() for record in caplog.records]
    assert "front did not drain in time and is closed as it stands" in messages
    assert "extra failed as it drained" in messages
    assert "front failed as it closed" in messages


def test_sigterm_during_the_start_closes_what_was_started() -> None:
    async def test() -> None:
        log: list[str] = []
        described = installation(log, start_front="hang")
        serving = asyncio.ensure_future(serve("", described))
        async with asyncio.timeout(WAIT_S):
            while "start front" not in log:
                await asyncio.sleep(0)
            os.kill(os.getpid(), signal.SIGTERM)
            await serving
        assert log == ["start list", "start front", "close extra", "close front", "close list"]

    run(test())


def test_a_reload_applies_all_or_nothing_and_names_every_fault() -> None:
    async def test() -> None:
        described = installation([])
        application = Application(described, asyncio.get_running_loop())
        await application.start()
        wrong = dict.fromkeys(("front", "extra"), NumberedSettings(number=-1)) | {
            "list": NumberedSettings(number=7)
        }
        assert application.reload(replace(described, component_settings=wrong)) == [
            "front: -1 is below 0",
            "extra: -1 is below 0",
        ]
        assert application.components["list"].number == 0  # type: ignore[attr-defined]
        good = dict.fromkeys(wrong, NumberedSettings(number=7))
        assert application.reload(replace(described, component_settings=good)) == []
        assert {part.number for part in application.components.values()} == {7}  # type: ignore[attr-defined]
        application.close()

    run(test())


def test_missing_and_circular_needs_are_reported() -> None:
    for needs, words in (
        ({"front": ("gone",)}, "front needs gone, which is not switched on"),
        ({"a": ("b",), "b": ("a",), "c": ()}, "a, b wait for each other"),
    ):
        with pytest.raises(OrderError, match=words):
            start_order(component_declarations([], {}, **needs))


def test_a_need_that_is_switched_off_is_a_fault_of_the_file(tmp_path: Path) -> None:
    known = component_declarations([], {}, front=("extra",), list=(), extra=())
    path = tmp_path / "site.toml"
    path.write_text(
        '[list]\n[front]\n[[class]]\nname = "a"\naim_ms = 1\ndeadline_ms = 2\nworth = 1\neffect = "safe"\n'
    )
    with pytest.raises(SettingsFileError, match="front needs extra, which is not switched on"):
        load_installation(str(path), {}, known)
