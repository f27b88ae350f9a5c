"""Encodes news between gateways that older builds have to ignore.

All are facts of one kind that these know and skip. A fact of a new kind would
make them refuse the whole message that it comes in.
"""

import msgspec

from lagoonpost.systems.crash_causes import (
    EVIDENCE_SECONDS,
    VERDICT_RETENTION_SECONDS,
)
from lagoonpost.systems.runner_notices import DEPARTURE_MEMORY_SECONDS
from lagoonpost.tables.crash import Crash, Soundness, Verdict
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.runner_notice import Departure
from lagoonpost.unreadable import read_fact

News = Crash | Soundness | Verdict | Departure
MS_PER_SECOND = 1000
_TYPES: dict[str, type[News]] = {
    "crash": Crash,
    "cut-off": Crash,
    "sound": Soundness,
    "verdict": Verdict,
    "departure": Departure,
}
"""Types of news by the first word of the fact's key."""


def make_fact(news: News, now: float) -> Fact:
    """Return the fact that tells other gateways of news.

    Args:
        news: The news.
        now: Time in seconds since the epoch, on the clock of facts.
    """
    rank, seconds = 1, EVIDENCE_SECONDS
    match news:
        case Crash(runner, attempt):
            # Builds that know "crash" can't decode the time of sending.
            key = f"cut-off/{runner}/{attempt}"
        case Soundness(cause, began):
            key, rank = f"sound/{cause}", int(began * MS_PER_SECOND)
        case Verdict(cause):
            key, rank = f"verdict/{cause}", int(news.met * MS_PER_SECOND)
            seconds = VERDICT_RETENTION_SECONDS
        case Departure(runner, born):
            key, rank = f"departure/{runner}", max(1, born)
            seconds = DEPARTURE_MEMORY_SECONDS
    body = msgspec.msgpack.encode(news)
    return Fact("poison_verdict", key, rank, body, now + seconds)


def read_news(fact: Fact) -> News | None:
    """Return the news in a fact; None if it is unknown or unreadable."""
    type_ = _TYPES.get(fact.key.partition("/")[0])
    if type_ is None:
        return None
    news: News | Unreadable = read_fact(fact, type_)
    return None if isinstance(news, Unreadable) else news
