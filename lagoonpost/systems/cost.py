"""Cost of a request, in output tokens and in seconds of a runner's slot.

Load pattern: the work of requests differs by a factor of a thousand, from a
check of a few tokens to a draft of thousands over a long prompt. Counted as
requests, a few drafts look negligible and yet occupy every slot. All queues,
shares and waits are therefore counted in output tokens and converted to
seconds by a rate that is learned from finished requests.

Thresholds: a prompt token counts as ``1 / PREFILL_RATIO`` output tokens. A
prefill at some 4,000 tokens a second takes 0.25 ms a token and stalls the
engine's whole batch. At 38 ms between tokens and 8 concurrent requests, an
output token takes 38 / 8 = 4.75 ms of the engine: 4.75 / 0.25 = 19, about 20.
A moving average over about ``1 / AVERAGING_GAIN`` = 20 requests follows a
change within a second at 20 requests a second, and one outlier moves it by
5%.
"""

from dataclasses import dataclass, field

from lagoonpost.tables.entity import Route
from lagoonpost.tables.request import RequestRow

PREFILL_RATIO = 20.0
AVERAGING_GAIN = 0.05
# A sample is clipped to this multiple of the average, so that a single stuck
# request does not distort the estimate for all.
MAX_SAMPLE_RATIO = 4.0


def count_tokens(request: RequestRow) -> float:
    """Return a request's cost in output tokens, at least 1."""
    return 1.0 + request.prompt_tokens / PREFILL_RATIO + request.output_tokens


@dataclass(slots=True)
class Rates:
    """Moving averages of the cost and duration of a service's requests.

    Attributes:
        mean_cost: Mean cost of a request in tokens; 1 while unknown.
        mean_seconds: Mean seconds that a request occupied a slot. The rate
            is a ratio of means, because the shortest requests would
            dominate a mean of ratios.
        first_part_seconds: Seconds from dispatch to the first part, by the
            bit length of the number of prompt tokens to prefill. A table
            assumes no model, so fixed overhead and queueing in the engine
            need no terms of their own.
    """

    mean_cost: float = 1.0
    mean_seconds: float = 0.0
    first_part_seconds: dict[int, float] = field(default_factory=dict)

    def slot_seconds(self, cost: float, route: Route | None) -> float:
        """Estimate the seconds that a request occupies a slot."""
        rate = self.mean_seconds / self.mean_cost
        return cost * (rate or _estimate_from_targets(cost, route))

    def first_seconds(self, prefill: int) -> float:
        """Estimate seconds from dispatch to the first part; 0 if unknown."""
        if not self.first_part_seconds:
            return 0.0
        key = prefill.bit_length()
        nearest = min(
            self.first_part_seconds, key=lambda known: abs(known - key)
        )
        return self.first_part_seconds[nearest] * 2.0 ** (key - nearest)

    def update_first_part(self, prefill: int, seconds: float) -> None:
        """Add a sample of the time from dispatch to the first part."""
        key = prefill.bit_length()
        self.first_part_seconds[key] = _average(
            self.first_part_seconds.get(key, 0.0), seconds
        )

    def update_completion(self, cost: float, seconds: float) -> None:
        """Add a sample of a finished request's cost and duration."""
        if not self.mean_seconds:
            self.mean_cost = cost
        self.mean_seconds = _average(self.mean_seconds, seconds)
        self.mean_cost = _average(self.mean_cost, cost)


def _estimate_from_targets(cost: float, route: Route | None) -> float:
    # Before any answer, the declared targets are the best estimate: half of
    # the target for a whole answer, as a healthy service stays well below it.
    if route is None:
        return 0.0
    return route.token_seconds or route.first_seconds / 2 / cost


def _average(old: float, seen: float) -> float:
    if not old:
        return seen
    return old + AVERAGING_GAIN * (min(seen, MAX_SAMPLE_RATIO * old) - old)
