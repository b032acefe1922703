"""Settings for following etcd."""

from __future__ import annotations

from pydantic import Field

from badgercart.app.model import MAX_DURATION_MS, Addresses, Name, Table
from badgercart.app.shared_settings import DoubtfulAfterMs, StaleAfterMs, WhenStale


class EtcdTls(Table, title="EtcdTls"):
    """TLS to etcd, from PEM files that are read with each connection"""

    ca: Name = Field(description="the file with the authorities of etcd's certificates")
    cert: Name | None = Field(
        None, description="the file with this node's certificate, where etcd wants one"
    )
    key: Name | None = Field(None, description="the file with its private key")


class EtcdSettings(Table, title="EtcdSettings"):
    """the server list from etcd v3, one key an entry under a prefix"""

    endpoints: Addresses = Field(
        description="the host:port of each member; the next is asked when one fails"
    )
    prefix: Name = Field("/badgercart/servers/", description="what the entries' keys begin with")
    user: Name | None = Field(None, description="the user, where etcd wants one")
    password_file: Name | None = Field(
        None, description="the file that holds the user's password; read with each connection"
    )
    tls: EtcdTls | None = None
    page: int = Field(1000, ge=1, le=10_000, description="entries in one page of the list")
    progress_ms: float = Field(
        1000.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="the time between questions whether the watch is whole (ms)",
    )
    silence_ms: float = Field(
        2500.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="the time for an answer to one (ms), after which the connection is given up",
    )
    call_ms: float = Field(
        5000.0,
        ge=10,
        le=MAX_DURATION_MS,
        description="the time for a connection and for each page (ms)",
    )
    retry_first_ms: float = Field(
        50.0,
        ge=1,
        le=MAX_DURATION_MS,
        description="the time before the first new try (ms), doubled with each, with jitter",
    )
    retry_most_ms: float = Field(
        2000.0, ge=1, le=MAX_DURATION_MS, description="the longest time before a new try (ms)"
    )
    doubtful_after_ms: DoubtfulAfterMs = 3000.0
    stale_after_ms: StaleAfterMs = 10000.0
    when_stale: WhenStale = "refuse"
    guard_share: float = Field(
        0.5,
        ge=0,
        le=1,
        description="a list left with less of its servers within a minute is held back; 0 switches it off",
    )
    known_file: Name | None = Field(
        None,
        description="where the list is kept, every 5 s at most, for a start while etcd is away",
    )
