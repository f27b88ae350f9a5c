"""Identifies requests that crash any runner that starts them.

Load pattern: one caller sends the same request again and again, through any
gateway, and each runner that starts it is unavailable for seconds. Retries
make it worse: each costs another runner and every request running on it.

Requests are identified by content and caller, as each attempt has an id of its
own. A broken answer counts only once its runner turns out to be down: answers
are also lost without a crash, and a popular request would be convicted for
that. After three breaks the request is not sent any more. An innocent request
that ran next to a crash breaks once and is answered the next time: an answer
clears the request's earlier breaks, and a crash counts once however many
callers sent the same request. Without these two rules, one crash would refuse
a popular request for a minute.
"""

from typing import NamedTuple

import xxhash

CRASH_DETECTION_SECONDS = 4.0
"""Time within which a crashed runner is found to be down.

Detected by a request to it or by three missed heartbeats.
"""
BREAKS_TO_REFUSE = 3
"""Breaks after which a request is not sent any more.

A third break is unlikely to be a coincidence.
"""
BREAK_TTL_SECONDS = 60.0
"""Time for which breaks count.

A runner that was repaired in the meantime may run the request again.
"""
MAX_PENDING_PER_RUNNER = 100
"""Breaks kept per runner until it is known to be down."""
MAX_REQUESTS = 10_000
"""Requests with breaks that are kept; the oldest are dropped first."""


class BrokenAnswer(NamedTuple):
    """An answer that was cut off.

    Attributes:
        fingerprint: Fingerprint of the request, the same for all its attempts.
        runner: Id of the runner.
        attempt: Id of the attempt.
    """

    fingerprint: str
    runner: str
    attempt: str


class BrokenAnswerTable:
    """Broken answers by request, seen here or reported by peers."""

    def __init__(self) -> None:
        self._pending: dict[str, dict[BrokenAnswer, float]] = {}
        self._breaks: dict[str, dict[BrokenAnswer, float]] = {}

    def note(self, broken: BrokenAnswer, now: float) -> None:
        """Record a broken answer; duplicates count once."""
        breaks = self._pending.setdefault(broken.runner, {})
        breaks[broken] = now
        oldest = next(iter(breaks))
        if (
            len(breaks) > MAX_PENDING_PER_RUNNER
            or breaks[oldest] < now - CRASH_DETECTION_SECONDS
        ):
            del breaks[oldest]

    def note_down(self, runner: str, now: float) -> None:
        """Count the broken answers of a runner that is found to be down."""
        counted = set()
        for broken, at in self._pending.pop(runner, {}).items():
            if (
                now - at <= CRASH_DETECTION_SECONDS
                and broken.fingerprint not in counted
            ):
                counted.add(broken.fingerprint)
                self._breaks.setdefault(broken.fingerprint, {})[broken] = now
        while len(self._breaks) > MAX_REQUESTS:
            del self._breaks[next(iter(self._breaks))]

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that a runner has answered completely."""
        self._breaks.pop(fingerprint, None)
        for breaks in self._pending.values():
            cleared = [b for b in breaks if b.fingerprint == fingerprint]
            for broken in cleared:
                del breaks[broken]

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be sent any more."""
        breaks = self._breaks.get(fingerprint)
        if not breaks:
            return False
        oldest = now - BREAK_TTL_SECONDS
        return sum(at > oldest for at in breaks.values()) >= BREAKS_TO_REFUSE


def make_fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Return the fingerprint of a request, the same for all its attempts."""
    digest = xxhash.xxh3_64(body)
    digest.update(f"{workspace} {target}".encode())
    return digest.hexdigest()
