"""What a request is by the platform's protocol: class, tenant and key, for every frontend.

Source: the protocol's page, section "Clients to nodes".
"""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.config import Config
from badgercart.core.errors import CoreError
from badgercart.core.identifiers import stable_id
from badgercart.policy.settings import Idempotency


class InvalidRequestError(CoreError):
    """A request that can't be accepted."""

    def __init__(self, status: int, reason: str, allowed_method: bytes = b"") -> None:
        """Keep the HTTP status that says so, the reason in words, and the method that would do."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.allowed_method = allowed_method


@dataclass(slots=True)
class ClassifiedRequest:
    """What the head of a request says of it."""

    request_name: bytes  # its Request-Id
    class_index: int
    tenant: int
    key: int  # 0: none


def unknown_tenant_reason(name: bytes | None) -> str:
    """Return why a Tenant header names no tenant."""
    if not name:
        return "no Tenant header, and no default_tenant is set"
    return f"there is no tenant {name[:64].decode('latin-1')!r}"


class RequestClassifier:
    """Classifies requests by one node's configuration."""

    def __init__(self, config: Config) -> None:
        """Take over the configuration's classes and tenants."""
        self.classes = config.classes
        self.tenant = config.tenant
        self.key_secret = config.key_secret
        self.idempotency = [cls.idempotency for cls in config.settings.classes]

    def classify(
        self,
        method: bytes,
        target: bytes,
        request_name: bytes | None,
        tenant_name: bytes | None,
        idempotency_key: bytes | None,
    ) -> ClassifiedRequest:
        """Return what a request's head says of it.

        Raises:
            InvalidRequestError: with the status 400, 404 or 405.
        """
        segments = target.partition(b"?")[0].split(b"/")
        if segments[0] or len(segments) < 2:
            raise InvalidRequestError(400, "no path from the root")
        class_index = self.classes.get(segments[1])
        if class_index is None:
            raise InvalidRequestError(404, "no such class")
        idempotency = self.idempotency[class_index]
        wanted = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
        if method != wanted:
            raise InvalidRequestError(405, f"the class wants {wanted.decode()}", wanted)
        if not request_name:
            raise InvalidRequestError(400, "no Request-Id")
        tenant = self.tenant(tenant_name)
        if tenant is None:
            raise InvalidRequestError(400, unknown_tenant_reason(tenant_name))
        check_idempotency_key(idempotency, idempotency_key)
        last = segments[-1] if len(segments) > 2 else b""
        key = stable_id(last, self.key_secret) if last else 0
        return ClassifiedRequest(request_name, class_index, tenant, key)


def check_idempotency_key(idempotency: Idempotency, key: bytes | None) -> None:
    """Raise InvalidRequestError where a class of requests wants an Idempotency-Key, or takes none."""
    if idempotency is Idempotency.KEYED and key is None:
        raise InvalidRequestError(400, "the class is keyed: it wants an Idempotency-Key")
    # Servers do not deduplicate such a class: a key would promise what nobody keeps.
    if idempotency is Idempotency.NON_IDEMPOTENT and key is not None:
        raise InvalidRequestError(400, "the class is not keyed: it takes no Idempotency-Key")
