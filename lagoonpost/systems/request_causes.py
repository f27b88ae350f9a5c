"""What a request may have in common with others that crash their runners."""

from collections.abc import Iterable

import xxhash

CONTENT_PREFIX = "content:"
MAX_CAUSES = 64
"""Limit for the causes of one request; callers may name any number."""


def find_causes(
    workspace: str, target: str, body: bytes, parts: Iterable[str]
) -> tuple[str, ...]:
    """Return what may make a request crash its runner.

    Args:
        workspace: Name of the caller's workspace.
        target: Path and query of the request.
        body: Body of the request.
        parts: Ids of the parts of its prompt, in order.

    Returns:
        The causes, from the most to the least widely shared. They have a
        fixed length, whatever callers send.
    """
    shared = list(parts)[:-1][:MAX_CAUSES]
    content = xxhash.xxh3_64(body)
    content.update(f"{workspace} {target}".encode())
    return (
        *(
            f"part:{xxhash.xxh3_64_hexdigest(part.encode())}"
            for part in shared
        ),
        f"{CONTENT_PREFIX}{content.hexdigest()}",
    )


def is_content(cause: str) -> bool:
    """Return whether a cause is the content of a request, not a part."""
    return cause.startswith(CONTENT_PREFIX)
