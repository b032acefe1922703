"""What an operator may set of following etcd; `operator.file` has units and checks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EtcdTls:
    """PEM files: whom to believe, and this node's own certificate where etcd wants one."""

    ca: str
    cert: str | None = None
    key: str | None = None


@dataclass(slots=True, frozen=True)
class EtcdSettings:
    endpoints: tuple[tuple[str, int], ...]
    prefix: str = "/badgercart/servers/"
    user: str | None = None
    password_file: str | None = None
    tls: EtcdTls | None = None
    page: int = 1000  # entries in one page of the list
    progress: float = 1000.0  # ms between questions whether the watch is whole
    silence: float = 2500.0  # ms for an answer to one, after which the connection is given up
    call: float = 5000.0  # ms for a connection and each page of the list
    retry_first: float = 50.0  # ms before the next try; doubled with each, with jitter
    retry_most: float = 2000.0
    doubtful_after: float = 3000.0
    stale_after: float = 10000.0
    when_stale: str = "refuse"  # or "go-on"
    guard_share: float = 0.5  # a list that is left with less of its servers is held back; 0: never
    known_file: str | None = None  # the list as this node last had it
