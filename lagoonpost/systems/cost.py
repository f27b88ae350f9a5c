"""What a request costs, in output tokens and in seconds of a slot.

Pattern of load: requests differ by a thousand times in work, from a check of
a few tokens to a draft of thousands over a long prompt. Counted as requests,
a few drafts look like nothing and hold every slot. So all queues, shares and
waits here are counted in output tokens, and turned into seconds by a rate
that is learned from finished requests.

Thresholds: a prompt token counts as ``1 / PREFILL_RATIO`` output tokens. A
prefill of some 4,000 tokens a second takes 0.25 ms a token and stalls the
engine's whole batch; at 38 ms between tokens and 8 requests side by side an
output token takes 38 / 8 = 4.75 ms of the engine: 4.75 / 0.25 = 19, about 20.
An average over about ``1 / GAIN`` = 20 requests follows a change within a
second at 20 requests a second, and one odd answer moves it by 5%.
"""

from dataclasses import dataclass, field

from lagoonpost.tables.entity import Route
from lagoonpost.tables.request import RequestRow

PREFILL_RATIO = 20.0
AVERAGING_GAIN = 0.05
# An answer that is overdue moves an average by no more than this factor,
# so that a lone stuck request doesn't spoil the estimate for all.
MAX_SAMPLE_RATIO = 4.0


def count_tokens(request: RequestRow) -> float:
    """Return a request's cost in output tokens, at least 1."""
    return 1.0 + request.prompt_tokens / PREFILL_RATIO + request.output_tokens


@dataclass(slots=True)
class Rates:
    """Learned seconds of a service's work.

    Attributes:
        mean_cost: Mean cost of a request in tokens; 1 while unknown.
        mean_seconds: Mean seconds that a request held a slot. The rate is a
            ratio of means, as a mean of ratios is ruled by the shortest
            requests.
        first: Seconds from dispatch to first part, by the power of two of
            the prompt tokens to prefill. A table has no shape to fit, so a
            fixed part and queueing in the engine need no terms.
    """

    mean_cost: float = 1.0
    mean_seconds: float = 0.0
    first_part_seconds: dict[int, float] = field(default_factory=dict)

    def slot_seconds(self, cost: float, route: Route | None) -> float:
        """Estimate the seconds that a request holds a slot."""
        rate = self.mean_seconds / self.mean_cost
        return cost * (rate or _declared(cost, route))

    def first_seconds(self, prefill: int) -> float:
        """Estimate seconds from dispatch to first part; 0 if unknown."""
        if not self.first_part_seconds:
            return 0.0
        key = prefill.bit_length()
        nearest = min(
            self.first_part_seconds, key=lambda known: abs(known - key)
        )
        return self.first_part_seconds[nearest] * 2.0 ** (key - nearest)

    def update_first_part(self, prefill: int, seconds: float) -> None:
        """Take in one time from dispatch to first part."""
        key = prefill.bit_length()
        self.first_part_seconds[key] = _average(
            self.first_part_seconds.get(key, 0.0), seconds
        )

    def update_completion(self, cost: float, seconds: float) -> None:
        """Take in one finished request."""
        if not self.mean_seconds:
            self.mean_cost = cost
        self.mean_seconds = _average(self.mean_seconds, seconds)
        self.mean_cost = _average(self.mean_cost, cost)


def _declared(cost: float, route: Route | None) -> float:
    # Before any answer, the declared targets are the best guess: half of the
    # target for a whole answer, as a healthy service keeps well below it.
    if route is None:
        return 0.0
    return route.token_seconds or route.first_seconds / 2 / cost


def _average(old: float, seen: float) -> float:
    if not old:
        return seen
    return old + AVERAGING_GAIN * (min(seen, MAX_SAMPLE_RATIO * old) - old)
