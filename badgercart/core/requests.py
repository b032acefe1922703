"""What a request is, by the platform's protocol: class, tenant and key, whichever front it comes
through.

Source: the protocol's page, section "Clients to nodes".
"""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.config import Config
from badgercart.core.identifiers import stable_id
from badgercart.policy.settings import Idempotency


class InvalidRequestError(Exception):
    """A request that can't be taken: why, the HTTP status that says so, and the method that would
    do."""

    def __init__(self, status: int, why: str, allow: bytes = b"") -> None:
        super().__init__(why)
        self.status = status
        self.allow = allow


@dataclass(slots=True)
class ClassifiedRequest:
    """What a description says of its request."""

    request_name: bytes  # its Request-Id
    class_index: int
    tenant: int
    key: int


def unknown_tenant(name: bytes | None) -> str:
    """Why a request's tenant is none."""
    if not name:
        return "no Tenant header, and no default_tenant is set"
    return f"there is no tenant {name[:64].decode('latin-1')!r}"


class Classifier:
    """Reads descriptions by one node's configuration."""

    def __init__(self, config: Config) -> None:
        self.classes = config.classes
        self.tenant, self.secret = config.tenant_index, config.key_secret
        self.effects = [cls.idempotency for cls in config.settings.classes]

    def read(
        self,
        method: bytes,
        target: bytes,
        name: bytes | None,
        tenant: bytes | None,
        key: bytes | None,
    ) -> ClassifiedRequest:
        """Raises BadDescription: 400, 404 or 405."""
        parts = target.partition(b"?")[0].split(b"/")
        if parts[0] or len(parts) < 2:
            raise InvalidRequestError(400, "no path from the root")
        cls = self.classes.get(parts[1])
        if cls is None:
            raise InvalidRequestError(404, "no such class")
        effect = self.effects[cls]
        wanted = b"GET" if effect is Idempotency.IDEMPOTENT else b"POST"
        if method != wanted:
            raise InvalidRequestError(405, f"the class wants {wanted.decode()}", wanted)
        if not name:
            raise InvalidRequestError(400, "no Request-Id")
        number = self.tenant(tenant)
        if number is None:
            raise InvalidRequestError(400, unknown_tenant(tenant))
        if effect is Idempotency.KEYED and key is None:
            raise InvalidRequestError(400, "the class is keyed: it wants an Idempotency-Key")
        if (
            effect is Idempotency.NON_IDEMPOTENT and key is not None
        ):  # a repeat could not be told by it
            raise InvalidRequestError(400, "the class is not keyed: it takes no Idempotency-Key")
        place = stable_id(parts[-1], self.secret) if len(parts) > 2 and parts[-1] else 0
        return ClassifiedRequest(name, cls, number, place)
