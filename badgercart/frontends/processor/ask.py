"""Asks a running processor for the account of its proxies, for the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import grpc

PATIENCE = 5.0  # s


class AskError(Exception):
    """What came instead of an answer."""


def ask(address: str, ca: str | None, cert: str | None, key: str | None) -> dict[str, Any]:
    """Raises AskError."""
    try:
        pem = [Path(path).read_bytes() if path else None for path in (ca, key, cert)]
    except OSError as error:
        raise AskError(f"{error.filename}: {error.strerror}") from None
    tls = grpc.ssl_channel_credentials(*pem) if any(pem) else None
    channel = grpc.secure_channel(address, tls) if tls else grpc.insecure_channel(address)
    with channel:
        call = channel.unary_unary("/badgercart.processor.v1.Operators/Proxies")
        try:
            told: dict[str, Any] = json.loads(call(b"", timeout=PATIENCE))
        except grpc.RpcError as error:
            raise AskError(f"{error.code().name.lower()}: {error.details()}") from None
    return told
