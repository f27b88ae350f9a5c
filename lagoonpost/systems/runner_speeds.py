"""Learns how fast runners are and how many requests they take well.

Load pattern: the runners of a service differ in speed, some slow down long
before they are full, and any may turn slow for a while. Each of many gateways
sees a small part of a runner's requests, too few to know its speed before it
changes. So the gateways share their measurements. The time to the first byte
holds the waits behind other prompts; if it was shared as speed, all gateways
would leave a runner whose queue was long a moment ago and return together. So
only times without a wait are taken: gaps between events, prompts that found no
other in prefill, plain calls that found a free slot.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lagoonpost.systems.runner_model import (
    PRIOR_WEIGHT,
    Estimate,
    RunnerModel,
    ServiceModel,
)
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.runner_speed import (
    Measure,
    SpeedEvidence,
    SpeedSamples,
)

MAX_REPORTED_COUNT = 2
"""Most measurements that one entry of a report counts for, so that one gateway
has no more weight than a few others."""
MIN_SECONDS, MAX_SECONDS = 1e-7, 60.0
"""Range of measured times; others are false."""
REPORTED_RUNNERS, REPORTED_PER_SECOND = 6, 12.0
"""Most runners in a report, and in the reports of a second. An entry takes 22
bytes and goes to each of up to 8 hubs."""
SUMMARY_RUNNERS, SUMMARY_PER_SECOND = 48, 30.0
"""Most runners in a hub's summary, and in the summaries of a second."""
PENDING_SECONDS = 2.0
"""Age from which a measurement that found no place in a report is dropped."""
RETOLD_SECONDS = 2.0
"""How often a summary repeats what has not changed, as datagrams are lost and
the receivers let it fade."""
SLOW, NO_LONGER_SLOW = 1.5, 1.25
"""Slowness from which a runner is held to be slow, and below which no
longer."""
MIN_WEIGHT = 0.1
"""Measurements left from which a runner counts as measured."""
REVIEW_SECONDS = 1.0
"""Pause between computations over all runners."""


class SpeedChange(NamedTuple):
    """A runner that is held to be slow, or that no longer is.

    Attributes:
        runner: Id of the runner.
        slow: Whether it is held to be slow.
        slowness: Its time relative to its service's mean.
        weight: Number of measurements behind it; older ones count less.
        capacity: Requests at once up to which it keeps its pace.
        shared: Whether a hub told it, rather than this gateway computing it.
    """

    runner: str
    slow: bool
    slowness: float
    weight: float
    capacity: int
    shared: bool


class _Pending(NamedTuple):
    """Own measurements that were not reported yet."""

    samples: int = 0
    logarithms: float = 0.0
    loads: float = 0.0
    at: float = -math.inf


class _Runner:
    """What is known of one incarnation of a runner.

    Attributes:
        endpoint: Its entry.
        model: What was learned from measurements here.
        shared: What a hub told.
        pending: Own measurements that were not reported yet.
        told: What a summary last told of the runner.
        is_slow: Whether it is held to be slow.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.model = RunnerModel()
        self.shared = Estimate()
        self.pending: dict[Measure, _Pending] = {}
        self.told = Estimate()
        self.is_slow = False

    def may_be_slow(self) -> bool:
        """Tell cheaply whether it is worth computing the slowness."""
        highest = max(self.model.own.mean, self.shared.mean)
        return self.is_slow or highest >= _LOGARITHM_OF_SLOW

    def best(self, now: float) -> tuple[float, Estimate]:
        """Return the estimate with more evidence, and its weight."""
        own = self.model.own
        weight, shared = own.fade(now), self.shared.fade(now)
        return (weight, own) if weight > shared else (shared, self.shared)


class RunnerSpeeds:
    """Model of each runner's speed, learned by all gateways together.

    A hub adds the others' reports to its own measurements. Other gateways
    use its summaries, which include what they reported themselves, and their
    own measurements only where the hub tells less.
    """

    def __init__(self) -> None:
        self._runners: dict[str, _Runner] = {}
        self._measured: dict[str, _Runner] = {}
        self._services: dict[tuple[str, Measure], ServiceModel] = {}
        self._reported = _Allowance(REPORTED_RUNNERS, REPORTED_PER_SECOND)
        self._summarized = _Allowance(SUMMARY_RUNNERS, SUMMARY_PER_SECOND)
        self._reviewed = -math.inf

    # Reading

    def slowness(self, runner: str, now: float) -> float:
        """Return a runner's time for the same work, relative to its service's.

        Args:
            runner: Id of the runner.
            now: Time in seconds.

        Returns:
            1.0 for the mean of the service; 2.0 takes twice as long.
        """
        state = self._runners.get(runner)
        if state is None:
            return 1.0
        weight, estimate = state.best(now)
        speed = self._find_speed(state, estimate)
        return math.exp(_shrink(speed, weight))

    def capacity(self, runner: str, slots: int, now: float) -> int:
        """Return the requests at once up to which a runner keeps its pace.

        Args:
            runner: Id of the runner.
            slots: Requests that it runs at once.
            now: Time in seconds.

        Returns:
            The number of requests; ``slots`` if nothing is known.
        """
        state = self._runners.get(runner)
        if state is None:
            return slots
        percent = state.best(now)[1].capacity
        return slots if percent >= 100 else max(1, slots * percent // 100)

    def list_deviating(
        self, limit: int, now: float
    ) -> list[tuple[str, float]]:
        """Return the runners that differ most from their service's mean.

        Args:
            limit: Most runners to return.
            now: Time in seconds.

        Returns:
            Pairs of runner and slowness.
        """
        found = [
            (runner, self.slowness(runner, now)) for runner in self._runners
        ]
        found.sort(key=lambda pair: -abs(math.log(pair[1])))
        return found[:limit]

    # Learning

    def note_sample(
        self,
        endpoint: Endpoint,
        measure: Measure,
        seconds: float,
        requests: int,
        now: float,
    ) -> None:
        """Record a measurement by this gateway.

        Args:
            endpoint: The runner.
            measure: What was timed.
            seconds: The time.
            requests: Requests at the runner meanwhile, this one included.
            now: Time in seconds.
        """
        if not MIN_SECONDS <= seconds <= MAX_SECONDS:
            return
        state = self._find(endpoint)
        if state.endpoint.born != endpoint.born:
            return
        logarithm = math.log(seconds)
        load = min(1.0, requests / max(1, endpoint.slots))
        self._learn(state, measure, logarithm, load, 1, now)
        before = state.pending.get(measure, _Pending())
        state.pending[measure] = _Pending(
            before.samples + 1,
            before.logarithms + logarithm,
            before.loads + load,
            now,
        )

    def add_report(
        self, samples: Mapping[str, SpeedSamples], now: float
    ) -> None:
        """Add the measurements that another gateway reports.

        Args:
            samples: Its new measurements, by runner.
            now: Time in seconds.
        """
        for runner, (measure, count, pace, load) in samples.items():
            state = self._runners.get(runner)
            seconds = math.exp(min(10.0, pace / 100))
            is_valid = MIN_SECONDS <= seconds <= MAX_SECONDS and count > 0
            if state is None or not is_valid or measure not in _MEASURES:
                continue
            self._learn(
                state,
                Measure(measure),
                pace / 100,
                min(1.0, max(0.0, load / 100)),
                min(count, MAX_REPORTED_COUNT),
                now,
            )

    def apply_summary(
        self, evidence: Mapping[str, SpeedEvidence], now: float
    ) -> None:
        """Replace what a hub told before of these runners.

        Args:
            evidence: What it knows now, by runner.
            now: Time in seconds.
        """
        for runner, told in evidence.items():
            state = self._runners.get(runner)
            is_valid = told.weight > 0 and told.slowness > 0
            if state is not None and is_valid:
                state.shared = _make_estimate(told, now)

    def note_runners(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> list[SpeedChange]:
        """Take the runners that exist, and review the models once a second.

        Args:
            endpoints: All known runners.
            now: Time in seconds.

        Returns:
            The runners that are held to be slow since this review, or that
            no longer are.
        """
        if now < self._reviewed + REVIEW_SECONDS:
            return []
        self._reviewed = now
        known = set()
        for endpoint in endpoints:
            known.add(endpoint.id)
            state = self._runners.get(endpoint.id)
            if state is None or state.endpoint is not endpoint:
                self._find(endpoint)
        for runner in self._runners.keys() - known:
            del self._runners[runner]
        self._measured = {
            runner: state
            for runner, state in self._measured.items()
            if self._runners.get(runner) is state
            and state.model.own.fade(now) >= MIN_WEIGHT
        }
        self._center(now)
        for state in self._measured.values():
            state.model.update_capacity(self._find_slope(state))
        found = (
            self._find_change(state, now)
            for state in self._runners.values()
            if state.may_be_slow()
        )
        return [change for change in found if change is not None]

    # Messages

    def take_report(self, now: float) -> dict[str, SpeedSamples]:
        """Return own measurements that were not reported yet.

        The newest come first; those that find no place stay for the next
        report.
        """
        oldest = now - PENDING_SECONDS
        found = []
        for runner, state in self._measured.items():
            for measure, pending in list(state.pending.items()):
                if pending.at < oldest:
                    del state.pending[measure]
            if state.pending:
                measure, pending = max(
                    state.pending.items(), key=lambda item: item[1].samples
                )
                found.append((pending.at, runner, measure))
        found.sort(reverse=True)
        taken = found[: self._reported.take(len(found), now)]
        report = {}
        for _, runner, measure in taken:
            count, logarithms, loads, _ = self._runners[runner].pending.pop(
                measure
            )
            report[runner] = SpeedSamples(
                int(measure),
                min(count, MAX_REPORTED_COUNT),
                round(100 * logarithms / count),
                round(100 * loads / count),
            )
        return report

    def take_summary(self, now: float) -> dict[str, SpeedEvidence]:
        """Return what this hub knows of the runners.

        First come those of which the receivers, for whom what they were told
        fades, are most in error.
        """
        found = []
        for runner, state in self._measured.items():
            own = state.model.own
            speed = self._find_speed(state, own)
            evidence = SpeedEvidence(
                round(own.fade(now)),
                max(1, round(100 * math.exp(speed))),
                own.capacity,
            )
            if not evidence.weight:
                continue
            told = state.told
            error = abs(
                _shrink(speed, evidence.weight)
                - _shrink(told.mean, told.fade(now))
            )
            error += abs(own.capacity - told.capacity) / 100
            if error > _NOTABLE_ERROR or now > told.at + RETOLD_SECONDS:
                found.append((-error, runner, evidence))
        found.sort()
        summary = {}
        for _, runner, evidence in found[
            : self._summarized.take(len(found), now)
        ]:
            state = self._runners[runner]
            state.told = _make_estimate(evidence, now)
            summary[runner] = evidence
        return summary

    def _find(self, endpoint: Endpoint) -> _Runner:
        """Return the model of a runner, a new one for a new incarnation."""
        state = self._runners.get(endpoint.id)
        if state is None or state.endpoint.born < endpoint.born:
            state = self._runners[endpoint.id] = _Runner(endpoint)
        elif state.endpoint.born == endpoint.born:
            state.endpoint = endpoint
        return state

    def _learn(
        self,
        state: _Runner,
        measure: Measure,
        logarithm: float,
        load: float,
        samples: int,
        now: float,
    ) -> None:
        key = state.endpoint.service, measure
        service = self._services.get(key)
        if service is None:
            speed = state.model.own.mean
            service = self._services[key] = ServiceModel(logarithm - speed)
        state.model.learn(service, measure, logarithm, load, samples, now)
        self._measured[state.endpoint.id] = state

    def _find_slope(self, state: _Runner) -> float:
        """Return how much the logarithm of a time grows up to full load."""
        service = self._services.get(
            (state.endpoint.service, state.model.measure)
        )
        return service.slope if service else 0.0

    def _find_speed(self, state: _Runner, estimate: Estimate) -> float:
        """Return an estimate at low load."""
        return estimate.mean - self._find_slope(state) * estimate.load

    def _center(self, now: float) -> None:
        """Shift the speeds so that each service's mean is 1."""
        sums: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
        for state in self._measured.values():
            weight = state.model.own.fade(now)
            share = weight / (weight + PRIOR_WEIGHT)
            total = sums[state.endpoint.service]
            total[0] += share * self._find_speed(state, state.model.own)
            total[1] += share
        means = {
            service: mean / share
            for service, (mean, share) in sums.items()
            if share and abs(mean / share) > _HARMLESS_SHIFT
        }
        for state in self._measured.values():
            mean = means.get(state.endpoint.service)
            if mean is not None:
                state.model.shift(-mean)
        for (name, _), service in self._services.items():
            service.base += means.get(name, 0.0)

    def _find_change(self, state: _Runner, now: float) -> SpeedChange | None:
        endpoint = state.endpoint
        slowness = self.slowness(endpoint.id, now)
        bound = NO_LONGER_SLOW if state.is_slow else SLOW
        if (slowness >= bound) == state.is_slow:
            return None
        state.is_slow = not state.is_slow
        weight, estimate = state.best(now)
        return SpeedChange(
            endpoint.id,
            state.is_slow,
            slowness,
            weight,
            self.capacity(endpoint.id, endpoint.slots, now),
            estimate is state.shared,
        )


class _Allowance:
    """Limits entries to a number each message and each second."""

    def __init__(self, most: int, per_second: float) -> None:
        self._most = most
        self._per_second = per_second
        self._left = float(most)
        self._at = -math.inf

    def take(self, wanted: int, now: float) -> int:
        """Return how many of the wanted entries may be sent now."""
        earned = max(0.0, now - self._at) * self._per_second
        self._left = min(self._most, self._left + earned)
        self._at = now
        taken = min(wanted, int(self._left))
        self._left -= taken
        return taken


_MEASURES = frozenset(int(measure) for measure in Measure)
_LOGARITHM_OF_SLOW = math.log(SLOW)
_HARMLESS_SHIFT = 0.001
"""Logarithm of a service's mean that need not be shifted to 0."""
_NOTABLE_ERROR = 0.05
"""Error of the receivers, as a logarithm, that is corrected without delay."""


def _shrink(mean: float, weight: float) -> float:
    """Return a mean as it counts beside the prior."""
    return mean * weight / (weight + PRIOR_WEIGHT)


def _make_estimate(evidence: SpeedEvidence, now: float) -> Estimate:
    return Estimate(
        evidence.weight,
        math.log(evidence.slowness / 100),
        evidence.capacity,
        now,
    )
