"""The classification of requests by the platform's protocol: class, tenant and key.

It is the same for every frontend. Source: the protocol's page, section "Clients to nodes".
"""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.config import Config
from badgercart.core.identifiers import stable_id
from badgercart.policy.settings import Idempotency


class InvalidRequestError(Exception):
    """A request that can't be accepted.

    It has the HTTP status for the client and, where the method is wrong, the one to use instead.
    """

    def __init__(self, status: int, reason: str, allowed_method: bytes = b"") -> None:
        super().__init__(reason)
        self.status = status
        self.allowed_method = allowed_method


@dataclass(slots=True)
class ClassifiedRequest:
    """What the request line and the headers say about a request."""

    request_name: bytes  # its Request-Id
    class_index: int
    tenant: int
    key: int


def describe_unknown_tenant(name: bytes | None) -> str:
    """Return why the tenant of a request is unknown."""
    if not name:
        return "no Tenant header, and no default_tenant is set"
    return f"there is no tenant {name[:64].decode('latin-1')!r}"


class Classifier:
    """Classifies requests by the configuration of one node."""

    def __init__(self, config: Config) -> None:
        self.classes = config.classes
        self.tenant, self.secret = config.tenant_index, config.key_secret
        self.idempotency = [cls.idempotency for cls in config.settings.classes]

    def classify(
        self,
        method: bytes,
        target: bytes,
        name: bytes | None,
        tenant: bytes | None,
        key: bytes | None,
    ) -> ClassifiedRequest:
        """Classify a request; raises InvalidRequestError with the status 400, 404 or 405."""
        segments = target.partition(b"?")[0].split(b"/")
        if segments[0] or len(segments) < 2:
            raise InvalidRequestError(400, "no path from the root")
        class_index = self.classes.get(segments[1])
        if class_index is None:
            raise InvalidRequestError(404, "no such class")
        idempotency = self.idempotency[class_index]
        required_method = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
        if method != required_method:
            raise InvalidRequestError(
                405, f"the class wants {required_method.decode()}", required_method
            )
        if not name:
            raise InvalidRequestError(400, "no Request-Id")
        tenant_index = self.tenant(tenant)
        if tenant_index is None:
            raise InvalidRequestError(400, describe_unknown_tenant(tenant))
        if idempotency is Idempotency.KEYED and key is None:
            raise InvalidRequestError(400, "the class is keyed: it wants an Idempotency-Key")
        # Servers don't recognize a repeat of such a request by its key.
        if idempotency is Idempotency.NON_IDEMPOTENT and key is not None:
            raise InvalidRequestError(400, "the class is not keyed: it takes no Idempotency-Key")
        key_id = stable_id(segments[-1], self.secret) if len(segments) > 2 and segments[-1] else 0
        return ClassifiedRequest(name, class_index, tenant_index, key_id)
