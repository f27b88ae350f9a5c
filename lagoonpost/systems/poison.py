"""Requests that crash whichever runner begins them.

Pattern of load: one caller sends the same request again and again, at any
gateway, and each runner that begins it is gone for seconds. Retries make it
worse: each of them costs one more runner, and everything that ran beside.

Requests are told apart by what they ask for and who asks, as each attempt has
an id of its own. An answer that breaks off counts once its runner turns out to
be down, as answers also get lost where nothing crashed, and a popular question
would be convicted for that. After three the request is not sent any more. An
innocent one that ran beside a crash breaks once, and is answered next time:
an answer clears a request of the breaks before it, and a crash counts once
however many callers asked the same. Without both, a question that many ask
was refused for a minute after one crash.
"""

from typing import NamedTuple

import xxhash

CRASH_DETECTION_SECONDS = 4.0
"""Time within which a runner that crashed is found to be down: a send to it,
or three of its heartbeats."""
BREAKS_TO_REFUSE = 3
"""Breaks after which a request is not sent: the third may be no chance."""
BREAK_TTL_SECONDS = 60.0
"""How long breaks count; a runner that was mended by then may try again."""
MAX_PENDING_PER_RUNNER = 100
"""Breaks of a runner that are remembered until it is known to be down."""
MAX_REQUESTS = 10_000
"""Requests that are remembered; the oldest are forgotten first."""


class BrokenAnswer(NamedTuple):
    """One answer that broke off.

    Attributes:
        fingerprint: Identifies the request in whatever attempt.
        runner: Where it ran.
        attempt: Id of the attempt.
    """

    fingerprint: str
    runner: str
    attempt: str


class BrokenAnswerTable:
    """Breaks by request, own ones and those that peers told of."""

    def __init__(self) -> None:
        self._open: dict[str, dict[BrokenAnswer, float]] = {}
        self._breaks: dict[str, dict[BrokenAnswer, float]] = {}

    def note(self, seen: BrokenAnswer, now: float) -> None:
        """Note a break; the same one counts once however often it comes."""
        breaks = self._open.setdefault(seen.runner, {})
        breaks[seen] = now
        oldest = next(iter(breaks))
        if (
            len(breaks) > MAX_PENDING_PER_RUNNER
            or breaks[oldest] < now - CRASH_DETECTION_SECONDS
        ):
            del breaks[oldest]

    def note_down(self, runner: str, now: float) -> None:
        """Count the breaks of a runner that turned out to be down."""
        counted = set()
        for seen, at in self._open.pop(runner, {}).items():
            if (
                now - at <= CRASH_DETECTION_SECONDS
                and seen.fingerprint not in counted
            ):
                counted.add(seen.fingerprint)
                self._breaks.setdefault(seen.fingerprint, {})[seen] = now
        while len(self._breaks) > MAX_REQUESTS:
            del self._breaks[next(iter(self._breaks))]

    def note_answered(self, fingerprint: str) -> None:
        """Clear a request that a runner has just answered whole."""
        self._breaks.pop(fingerprint, None)
        for breaks in self._open.values():
            cleared = [b for b in breaks if b.fingerprint == fingerprint]
            for seen in cleared:
                del breaks[seen]

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request is not to be sent any more."""
        breaks = self._breaks.get(fingerprint)
        if not breaks:
            return False
        oldest = now - BREAK_TTL_SECONDS
        return sum(at > oldest for at in breaks.values()) >= BREAKS_TO_REFUSE


def make_fingerprint(workspace: str, target: str, body: bytes) -> str:
    """Return what identifies a request in whatever attempt."""
    digest = xxhash.xxh3_64(body)
    digest.update(f"{workspace} {target}".encode())
    return digest.hexdigest()
