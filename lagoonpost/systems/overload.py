"""Refuses requests that no runner can begin to answer in time.

Load pattern: reclaims take most runners of a service within seconds, and
their replacements are cold. All requests of a gateway that may not send to a
cold runner go to the few warm ones. Each waits there behind more prompts than
can be prefilled before its deadline, the runner's queue overflows, and callers
learn only at their deadline that they have to ask again.

A request is refused at once if the runner with the shortest predicted wait
cannot prefill the prompts before it in time even at the pace of an unloaded
runner. Other delays, and prompts that other gateways have sent since their
last report, would make the wait longer, so no request is refused that a runner
could have begun in time.
"""

from random import Random

MIN_RETRY_SECONDS = 0.2
"""Shortest retry delay: gateways report their open work about as often."""
MAX_RETRY_SECONDS = 5.0
"""Longest retry delay, as ordered runners start within some seconds."""
MIN_RETURN_RATE = 0.01
"""Least returns a second that are planned for, where limits are 0."""
JITTER_SHARE = 0.5
"""Part of a delay by which it is lengthened at random, so that callers who
were refused together do not return together."""


class ReturnTimes:
    """Spreads the returns of callers whose runners all have a limit.

    Callers are told to come back one after the other, in the order in which
    they were refused, no faster than this gateway's part of the limits admits
    them.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._next: dict[str, float] = {}

    def find_delay(
        self, service: str, wait: float, rate: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller may return.

        Args:
            service: Name of the service.
            wait: Seconds until its runners take a request again.
            rate: Requests a second that they take from this gateway.
            now: Time in seconds.
        """
        earliest = now + max(MIN_RETRY_SECONDS, wait)
        at = max(earliest, self._next.get(service, earliest))
        at = min(at, now + MAX_RETRY_SECONDS)
        self._next[service] = at + 1.0 / max(MIN_RETURN_RATE, rate)
        return (at - now) * (1.0 + JITTER_SHARE * self._rng.random())


def find_return_delay(wait: float, rng: Random) -> float:
    """Return the seconds after which a refused caller may return.

    Args:
        wait: Seconds until a runner takes requests again.
        rng: Source of the jitter.
    """
    delay = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
    return delay * (1.0 + JITTER_SHARE * rng.random())


def find_retry_delay(
    backlog: float, left: float, others_have_room: bool, rng: Random
) -> float | None:
    """Decide whether to refuse a request.

    Args:
        backlog: Least seconds in which the chosen runner can prefill the
            prompts before this one.
        left: Seconds until the request's deadline.
        others_have_room: Whether other gateways may send to runners that
            this one may not send to.
        rng: Source of the jitter.

    Returns:
        The seconds after which the caller should return; None if the request
        may be sent.
    """
    if backlog <= left:
        return None
    delay = MIN_RETRY_SECONDS if others_have_room else backlog
    return find_return_delay(delay, rng)
