"""The external processor, as a component of an installation."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from badgercart.app.component import (
    CheckedFile,
    ComponentDeclaration,
    ComponentHost,
    ComponentKind,
    ReloadError,
)
from badgercart.app.faults import Path
from badgercart.frontends.processor.settings import ProcessorSettings

if TYPE_CHECKING:
    from badgercart.frontends.processor.server import ProcessorServer


class ProcessorComponent:
    """An external processor. SIGHUP reloads the PEM files of its certificate."""

    def __init__(self, host: ComponentHost, settings: ProcessorSettings) -> None:
        # Imported here, since it loads grpcio.
        from badgercart.frontends.processor.server import ProcessorServer

        self.frontend: ProcessorServer = ProcessorServer(
            host.config, settings, host.pipeline, host.endpoint_table, host.loop
        )
        host.captured_state_machines["processor.account"] = self.frontend.calls.old_answers

        frontend, registry = self.frontend, host.metrics
        registry.gauge(
            "badgercart_processor_streams",
            "Streams that are open.",
            lambda: len(frontend.connections),
        )
        registry.gauge(
            "badgercart_processor_calls",
            "Requests of proxies that are open.",
            lambda: len(frontend.calls.open),
        )
        registry.counter(
            "badgercart_processor_old_answers",
            "Uses of answers beyond their age, by proxy.",
            lambda: {name: proxy.old for name, proxy in frontend.calls.old_answers.proxies.items()},
            "proxy",
        )

    async def start(self) -> None:
        """Listen. Raises OSError if the address can't be used."""
        await self.frontend.start()

    def prepare(self, settings: ProcessorSettings) -> Callable[[], None] | None:
        """Load the certificate again; return what puts it into use. Raises ReloadError."""
        from badgercart.frontends.processor.server import TlsError, read_tls

        tls = self.frontend.settings.tls
        if tls is None:
            return None
        try:
            certificate = read_tls(tls)
        except TlsError as error:
            raise ReloadError(f"the certificate: {error}") from None
        return lambda: self.frontend.replace_certificate(certificate)

    async def drain(self, deadline_ms: float) -> None:
        """Finish all calls; ends at `deadline_ms` at the latest."""
        await self.frontend.drain(deadline_ms)

    def close(self) -> None:
        """Stop the timer."""
        self.frontend.close()


def check(settings: ProcessorSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Yield the settings that contradict others, each with a message."""
    if settings.answer_age_ms > file.base.fleet.drain_grace_ms:
        yield ("answer_age_ms",), "is longer than fleet.drain_grace_ms"
    if settings.old_answers.refuse_after < settings.old_answers.no_fallbacks_after:
        yield ("old_answers", "refuse_after"), "is below no_fallbacks_after"


COMPONENTS = (
    ComponentDeclaration(
        name="processor",
        key=("fronts", "processor"),
        kind=ComponentKind.FRONTEND,
        settings=ProcessorSettings,
        about="a listener for proxies that ask by Envoy's external processing protocol",
        build=ProcessorComponent,
        needs=("members",),
        check=check,
        extra="processor",
        libraries=("grpc", "envoy"),
        commands="badgercart.frontends.processor.commands:processor",
    ),
)
