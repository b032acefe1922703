"""What operators' calls do to this node."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from badgercart.admin.requests import Reply
from badgercart.ejection.ejections import Bans


class NodeDesk:
    """`unready` says why the node can't serve yet; empty where it can."""

    def __init__(self, unready: Callable[[], str], bans: Bans) -> None:
        self.unready = unready
        self.bans = bans

    def ready(self) -> Reply:
        why = self.unready()
        return Reply(HTTPStatus.SERVICE_UNAVAILABLE, why) if why else Reply(HTTPStatus.OK, "ready")

    def disable(self, name: str) -> Reply:
        return self.change(name, "is out: nothing new goes to it", self.bans.disable)

    def enable(self, name: str) -> Reply:
        return self.change(name, "is in use", self.bans.enable)

    def change(self, name: str, done: str, act: Callable[[str], str]) -> Reply:
        if not self.bans.ledger.known(name):
            if not self.bans.roster.has_update:
                return Reply(HTTPStatus.SERVICE_UNAVAILABLE, "no server list has come yet")
            return Reply(HTTPStatus.NOT_FOUND, f"no server {name} was ever listed")
        if why := act(name):
            return Reply(HTTPStatus.INTERNAL_SERVER_ERROR, f"nothing was changed: {why}")
        return Reply(HTTPStatus.OK, f"{name} {done}")
