"""Which answers' KV caches to move off a leaving runner, and in what order.

Pattern of load: a reclaim notice of a few seconds under many long drafts,
whose KV caches together are more than the network moves in that time. In
order of arrival, or all side by side, the time runs out on exports that
are not whole, which save nothing.

Each transfer is valued by the tokens that need no recompute per second of
transfer, and the dearest goes first among those which still fit before
the deadline; what does not fit is resumed by prompt plus tokens. Bytes are
proportional to tokens, so the rate alone gives all the same value; the
fixed time per transfer is what makes long drafts worth more than short
ones. Greedy by value per second is within one transfer of the best choice
for a knapsack, and a transfer is small against the notice.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Below this a transfer does not pay: 64 tokens prefill in 13 ms at 5 000
# tokens a second, which two more HTTP calls take as well.
MIN_TOKENS = 64


class PendingTransfer(NamedTuple):
    """An answer that has to leave its runner.

    Attributes:
        request_id: The request.
        tokens: Tokens of prompt and answer so far, all to be recomputed
            if the cache does not move.
        deadline: When the transfer must be whole.
    """

    request_id: str
    tokens: int
    deadline: float


class LinkEstimate(NamedTuple):
    """What was measured of transfers from one runner.

    Attributes:
        bytes_per_token: Size of the cache; 0 while unknown.
        bytes_per_second: Rate from export's start to import's end; 0
            while unknown.
        call_seconds: Fixed time of a transfer.
    """

    bytes_per_token: float = 0.0
    bytes_per_second: float = 0.0
    call_seconds: float = 0.01

    def add_sample(
        self, size: int, tokens: int, seconds: float, weight: float
    ) -> "LinkEstimate":
        """Return the link with one more transfer taken into account."""
        per_token = size / max(1, tokens)
        busy = max(seconds - self.call_seconds, seconds / 2, 1e-6)
        rate = size / busy
        if self.bytes_per_second:
            rate = weight * rate + (1 - weight) * self.bytes_per_second
        return self._replace(bytes_per_token=per_token, bytes_per_second=rate)


def estimate_seconds(tokens: int, link: LinkEstimate) -> float:
    """Return how long a transfer takes; the fixed time while unmeasured."""
    if not link.bytes_per_second:
        return link.call_seconds
    size = tokens * link.bytes_per_token
    return link.call_seconds + size / link.bytes_per_second


def choose_next(
    waiting: Sequence[PendingTransfer], link: LinkEstimate, now: float
) -> PendingTransfer | None:
    """Return whose cache to move next, or None if none is worth it."""
    best = None
    best_value = 0.0
    for evacuee in waiting:
        if evacuee.tokens < MIN_TOKENS:
            continue
        seconds = estimate_seconds(evacuee.tokens, link)
        if now + seconds > evacuee.deadline:
            continue
        value = evacuee.tokens / seconds
        if value > best_value:
            best = evacuee
            best_value = value
    return best
