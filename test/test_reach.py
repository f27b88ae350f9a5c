"""Tests for the paths to runners, played without a network."""

from collections import Counter
from random import Random
from typing import NamedTuple

import pytest

from lagoonpost.systems.reach import (
    DIRECT_PATH,
    LOST_RANK,
    MAX_BACKOFF_SECONDS,
    PARTITION_RUNNERS,
    Path,
    PeerChoice,
    Reach,
)

MAX_OFFERS = 4
RUNNERS = [f"runner-{number}" for number in range(5)]


class Gateway(NamedTuple):
    """One gateway of a played deployment."""

    name: str
    domain: int
    reach: Reach
    peers: PeerChoice


class Deployment:
    """Gateways in three failure domains, some without a path to runners.

    Attributes:
        cut: Names of the gateways without a path.
        carried: Requests that each gateway carried for others.
        asked: Peers asked, by the requests for which they were.
        served: Whether each request reached a runner.
        attempts: Offers to runners, by request that was served.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.rng = Random(seed)
        self.gateways = [
            Gateway(f"gateway-{n}", n % 3, Reach(), PeerChoice())
            for n in range(count)
        ]
        self.cut: set[str] = set()
        self.carried: Counter[str] = Counter()
        self.asked: list[int] = []
        self.served: list[bool] = []
        self.attempts: list[int] = []

    def send(self, gateway: Gateway, now: float) -> None:
        """Send one request, as the forwarder does."""
        others = [g for g in self.gateways if g is not gateway]
        tried = set()
        for _ in range(MAX_OFFERS):
            has_peers = gateway.peers.has_any(others, now)
            paths = {
                runner: gateway.reach.find_path(runner, has_peers, now)
                for runner in RUNNERS
            }
            usable = [
                r for r in RUNNERS if (r, paths[r].indirect) not in tried
            ]
            runner = min(
                usable, key=lambda r: (paths[r].rank, self.rng.random())
            )
            indirect = paths[runner].indirect
            if self._connect(gateway, others, runner, indirect, now):
                break
            tried.add((runner, indirect))
        else:
            self.served.append(False)
            return
        self.attempts.append(len(tried) + 1)
        self.served.append(True)

    def _connect(
        self,
        gateway: Gateway,
        others: list[Gateway],
        runner: str,
        indirect: bool,
        now: float,
    ) -> bool:
        if not indirect:
            reached = gateway.name not in self.cut
            gateway.reach.note_direct(runner, reached, now)
            return reached
        peers = gateway.peers.choose(others, now, self.rng)
        for number, peer in enumerate(peers, 1):
            able = peer.name not in self.cut
            gateway.peers.note(peer.name, able, now)
            if able:
                self.carried[peer.name] += 1
                self.asked.append(number)
                gateway.reach.note_indirect(runner, True, now)
                return True
        gateway.reach.note_indirect(runner, False, now)
        return False

    def probe(self, now: float) -> None:
        """Probe lost paths, as each gateway does in the background."""
        for gateway in self.gateways:
            for runner in gateway.reach.list_probes(RUNNERS, now, self.rng):
                self._connect(gateway, [], runner, False, now)

    def play(self, begin: float, seconds: float) -> None:
        """Let each gateway send five requests a second."""
        for step in range(int(seconds * 5)):
            now = begin + step / 5
            self.probe(now)
            for gateway in self.gateways:
                self.send(gateway, now)


@pytest.mark.parametrize("count", [9, 82, 195])
class TestPartitionOfManyGateways:
    def cut_domain(self, deployment: Deployment) -> None:
        """Cut off one failure domain and some gateways of the others."""
        deployment.cut = {
            gateway.name
            for number, gateway in enumerate(deployment.gateways)
            if gateway.domain == 0 or number % 5 == 4
        }

    def test_all_are_served_within_seconds(self, count):
        deployment = Deployment(count, 1)
        self.cut_domain(deployment)
        deployment.play(0.0, 3.0)
        deployment.served.clear()
        deployment.asked.clear()
        deployment.play(3.0, 6.0)
        served = sum(deployment.served) / len(deployment.served)
        assert served > 0.99
        assert sum(deployment.asked) / len(deployment.asked) < 2.0

    def test_the_load_is_spread_evenly(self, count):
        """Guards against a rush of all requests to a few gateways."""
        deployment = Deployment(count, 2)
        self.cut_domain(deployment)
        deployment.play(0.0, 10.0)
        able = len(deployment.gateways) - len(deployment.cut)
        assert len(deployment.carried) == able
        mean = sum(deployment.carried.values()) / able
        assert max(deployment.carried.values()) < 2 * mean

    def test_all_paths_are_direct_after_it(self, count):
        """Guards against traffic through peers that outlasts the cut."""
        deployment = Deployment(count, 3)
        self.cut_domain(deployment)
        deployment.play(0.0, 12.0)
        deployment.cut.clear()
        deployment.play(12.0, MAX_BACKOFF_SECONDS + 1.0)
        deployment.carried.clear()
        deployment.play(12.0 + MAX_BACKOFF_SECONDS + 1.0, 2.0)
        assert not deployment.carried

    def test_no_peer_is_asked_without_a_cut(self, count):
        deployment = Deployment(count, 4)
        deployment.play(0.0, 3.0)
        assert not deployment.carried
        assert all(attempt == 1 for attempt in deployment.attempts)


class TestReach:
    def test_one_runner_that_fails_is_no_partition(self):
        reach = Reach()
        reach.note_direct("runner-0", False, 0.0)
        assert not reach.partitioned
        assert reach.find_path("runner-1", True, 0.1) == DIRECT_PATH
        assert reach.find_path("runner-0", True, 0.1).indirect

    def test_several_that_fail_in_a_row_are_one(self):
        reach = Reach()
        for runner in RUNNERS[:PARTITION_RUNNERS]:
            reach.note_direct(runner, False, 0.0)
        assert reach.partitioned
        assert reach.find_path("runner-4", True, 0.1) == Path(True, 1)

    def test_crashes_among_sound_runners_are_none(self):
        """Guards against going through peers because runners have crashed."""
        reach = Reach()
        for runner in RUNNERS[:4]:
            reach.note_direct(runner, False, 0.0)
            reach.note_direct("runner-4", True, 0.0)
        assert not reach.partitioned

    def test_a_partition_that_is_none_ends_with_the_first_probe(self):
        """Guards against crashed runners that count as a partition for long.

        They are the only ones that a gateway with few requests has tried.
        """
        reach = Reach()
        for runner in RUNNERS[:2]:
            reach.note_direct(runner, False, 0.0)
        probed = reach.list_probes(RUNNERS, 0.1, Random(1))
        assert set(probed) & set(RUNNERS[2:])
        for runner in probed:
            reach.note_direct(runner, True, 0.1)
        assert not reach.partitioned

    def test_a_runner_that_nobody_reaches_is_lost(self):
        reach = Reach()
        reach.note_direct("runner-0", False, 0.0)
        reach.note_indirect("runner-0", False, 0.0)
        assert reach.find_path("runner-0", True, 0.1) == Path(False, LOST_RANK)

    def test_silence_is_no_partition(self):
        """Guards against a detour around runners that are only silent."""
        reach = Reach()
        for runner in RUNNERS:
            reach.note_silent(runner, 0.0)
        assert not reach.partitioned
        path = reach.find_path("runner-0", True, 0.1)
        assert path == Path(False, LOST_RANK)
        reach.note_answered("runner-0")
        assert reach.find_path("runner-0", True, 0.1) == DIRECT_PATH

    def test_a_path_through_peers_stays_until_the_direct_one_works(self):
        """Guards against callers that wait for a lost path again and again."""
        reach = Reach()
        reach.note_direct("runner-0", False, 0.0)
        reach.note_indirect("runner-0", True, 0.0)
        assert reach.find_path("runner-0", True, 60.0) == Path(True, 0)
        assert reach.list_probes(RUNNERS, 60.0, Random(1)) == ["runner-0"]

    def test_missing_runners_are_forgotten(self):
        reach = Reach()
        for runner in RUNNERS[:2]:
            reach.note_direct(runner, False, 0.0)
        reach.forget_missing(RUNNERS[2:])
        assert not reach.partitioned
        assert not reach.has_failures()


class TestPeerChoice:
    def test_a_peer_that_refused_is_left_out_for_a_while(self):
        """Guards against asking gateways that are cut off again and again."""
        choice, rng = PeerChoice(), Random(1)
        peers = [Gateway(f"gateway-{n}", 0, Reach(), choice) for n in range(2)]
        choice.note("gateway-0", False, 0.0)
        assert choice.choose(peers, 0.1, rng) == peers[1:]
        assert len(choice.choose(peers, 60.0, rng)) == 2

    def test_without_a_peer_that_is_left_nobody_is_asked(self):
        choice = PeerChoice()
        peers = [Gateway("gateway-0", 0, Reach(), choice)]
        choice.note("gateway-0", False, 0.0)
        assert not choice.has_any(peers, 0.1)
        choice.note("gateway-0", True, 0.1)
        assert choice.has_any(peers, 0.1)
