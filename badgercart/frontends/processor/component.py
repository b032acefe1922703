"""The external processor as a part of an installation."""

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
    from badgercart.frontends.processor.server import Processor


class ProcessorComponent:
    """Proxies that ask; SIGHUP reads the PEM files of its certificate anew."""

    def __init__(self, host: ComponentHost, settings: ProcessorSettings) -> None:
        from badgercart.frontends.processor.server import (
            Processor,
        )  # heavy: only where it is switched on

        self.frontend: Processor = Processor(
            host.config, settings, host.pipeline, host.endpoint_table, host.loop
        )
        host.protocol_machines["processor.account"] = self.frontend.calls.account

        front, meters = self.frontend, host.metrics
        meters.gauge(
            "badgercart_processor_streams", "Streams that are open.", lambda: len(front.connections)
        )
        meters.gauge(
            "badgercart_processor_calls",
            "Requests of proxies that are open.",
            lambda: len(front.calls.open),
        )
        meters.counter(
            "badgercart_processor_old_answers",
            "Uses of answers beyond their age, by proxy.",
            lambda: {name: proxy.old for name, proxy in front.calls.account.proxies.items()},
            "proxy",
        )

    async def start(self) -> None:
        await self.frontend.start()

    def prepare(self, settings: ProcessorSettings) -> Callable[[], None] | None:
        from badgercart.frontends.processor.server import TlsError, read_tls

        tls = self.frontend.settings.tls
        if tls is None:
            return None
        try:
            certificate = read_tls(tls)
        except TlsError as error:
            raise ReloadError(f"the certificate: {error}") from None
        return lambda: self.frontend.replace_certificate(certificate)

    async def drain(self, until: float) -> None:
        await self.frontend.drain(until)

    def close(self) -> None:
        self.frontend.close()


def check(settings: ProcessorSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
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
