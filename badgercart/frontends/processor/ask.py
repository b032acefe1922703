"""Fetches the status of a running processor, for the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import grpc

CALL_TIMEOUT_S = 5.0


class StatusError(Exception):
    """The processor's status could not be fetched."""


def fetch_status(address: str, ca: str | None, cert: str | None, key: str | None) -> dict[str, Any]:
    """Return the number of open calls and the record of each proxy.

    `ca`, `cert` and `key` are paths of PEM files. Raises StatusError.
    """
    try:
        pem = [Path(path).read_bytes() if path else None for path in (ca, key, cert)]
    except OSError as error:
        raise StatusError(f"{error.filename}: {error.strerror}") from None
    tls = grpc.ssl_channel_credentials(*pem) if any(pem) else None
    channel = grpc.secure_channel(address, tls) if tls else grpc.insecure_channel(address)
    with channel:
        call = channel.unary_unary("/badgercart.processor.v1.Operators/Proxies")
        try:
            status: dict[str, Any] = json.loads(call(b"", timeout=CALL_TIMEOUT_S))
        except grpc.RpcError as error:
            raise StatusError(f"{error.code().name.lower()}: {error.details()}") from None
    return status
