"""Who calls: bearer keys of workspaces and operators, kept as digests."""

import hashlib
import hmac
from collections.abc import Iterable

from lagoonpost.http.message import Request
from lagoonpost.tables.entity import Declaration, Workspace

SCHEME = "bearer "
# Name of an operator whose key comes from the settings.
SETTINGS_OPERATOR = "settings"


def digest_key(key: str) -> str:
    """Return the SHA-256 of a bearer key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_bearer(request: Request) -> str | None:
    """Return the bearer key of a request, if it has one."""
    value = request.header("authorization") or ""
    if not value.lower().startswith(SCHEME):
        return None
    return value[len(SCHEME) :].strip()


def find_workspace(
    declaration: Declaration, request: Request
) -> Workspace | None:
    """Return the workspace whose bearer key the request carries."""
    key = read_bearer(request)
    if key is None:
        return None
    digest = digest_key(key)
    for workspace in declaration.workspaces:
        if hmac.compare_digest(workspace.key_digest, digest):
            return workspace
    return None


def find_operator(
    digests: Iterable[str], declaration: Declaration, request: Request
) -> str | None:
    """Return the name of the operator whose key the request carries.

    Args:
        digests: Digests of keys from the settings, for the first tickets.
        declaration: Has the operators that tickets declared.
        request: The request.
    """
    key = read_bearer(request)
    if key is None:
        return None
    digest = digest_key(key)
    for operator in declaration.operators:
        if hmac.compare_digest(operator.key_digest, digest):
            return operator.name
    if any(hmac.compare_digest(known, digest) for known in digests):
        return SETTINGS_OPERATOR
    return None
