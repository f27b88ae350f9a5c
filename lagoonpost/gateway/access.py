"""Authenticates callers by the stored digests of their bearer keys."""

import hashlib
import hmac
from collections.abc import Iterable

from lagoonpost.http.message import Request
from lagoonpost.tables.entity import Declaration, Workspace

SCHEME = "bearer "
# Name of the operator whose key digest comes from the settings.
SETTINGS_OPERATOR = "settings"


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a bearer key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_bearer(request: Request) -> str | None:
    """Return the bearer key of a request, or None without one."""
    value = request.header("authorization") or ""
    if not value.lower().startswith(SCHEME):
        return None
    return value[len(SCHEME) :].strip()


def find_workspace(
    declaration: Declaration, request: Request
) -> Workspace | None:
    """Return the workspace whose bearer key the request carries, if any."""
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
        digests: Key digests from the settings. They let an operator submit
            the first tickets, before any operator is declared.
        declaration: Declaration with the operators added by tickets.
        request: Request to authenticate.

    Returns:
        The operator's name, `SETTINGS_OPERATOR` for a key from the settings,
        or None if the key belongs to no operator.
    """
    key = read_bearer(request)
    if key is None:
        return None
    digest = digest_key(key)
    for operator in declaration.operators:
        if hmac.compare_digest(operator.key_digest, digest):
            return operator.name
    if any(hmac.compare_digest(accepted, digest) for accepted in digests):
        return SETTINGS_OPERATOR
    return None
