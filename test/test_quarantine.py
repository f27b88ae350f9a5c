"""Tests of lagoonpost.systems.quarantine: simulated crashes and verdicts."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.quarantine import Loss, Quarantine, Verdict

SLOTS = 8
STEP = 0.1
CRASH_STEPS = 5
RESEND_STEPS = 10
POISON = "poison"


class _Run:
    """One request, on a runner or waiting for one."""

    def __init__(self, fingerprint: str, steps: int) -> None:
        self.fingerprint = fingerprint
        self.left = steps
        self.steps = steps
        self.waited = 0


class _Runner:
    def __init__(self, name: str, version: str) -> None:
        self.name = name
        self.version = version
        self.runs: list[_Run] = []
        self.reserved_for: _Run | None = None


class Play:
    """Simulation of a small fleet, its callers and one poison request."""

    def __init__(self, seed: int, runners: int, bad: int = 0) -> None:
        self.rng = Random(seed)
        self.quarantine = Quarantine()
        self.now = 1000.0
        self.bad = bad
        self.runners = [
            _Runner(f"e{n}", "v2" if n < bad else "v1") for n in range(runners)
        ]
        self.serving = {runner.version for runner in self.runners}
        self.waiting: list[_Run] = []
        self.verdicts: dict[str, Verdict] = {}
        self.lost = 0
        self.refused: list[str] = []
        self.isolated: set[str] = set()
        self.done: list[_Run] = []
        self.count = 0

    def run(self, seconds: float, rate: float, poison: bool) -> None:
        resend = 0
        for step in range(int(seconds / STEP)):
            self.now += STEP
            if self.rng.random() < rate * STEP:
                self.count += 1
                steps = self.rng.randint(5, 60)
                self.waiting.append(_Run(f"r{self.count}", steps))
            if poison and not self._holds_poison() and step >= resend:
                resend = step + RESEND_STEPS
                self.waiting.append(_Run(POISON, 100))
            self._place()
            for runner in list(self.runners):
                self._work(runner)

    def kill(self, runners: list[_Runner]) -> None:
        lost = []
        for runner in runners:
            self.runners.remove(runner)
            self.lost += 1
            for run in runner.runs:
                beside = len(runner.runs) - 1
                loss = (run.fingerprint, runner.name, runner.version)
                self.quarantine.add(Loss(*loss, self.now, beside))
                run.left = run.steps
                if run.fingerprint != POISON:
                    lost.append(run)
        self.waiting = lost + self.waiting
        self.verdicts = self.quarantine.compute_verdicts(self.serving)

    def _holds_poison(self) -> bool:
        runs = [run for runner in self.runners for run in runner.runs]
        return any(run.fingerprint == POISON for run in runs + self.waiting)

    def _work(self, runner: _Runner) -> None:
        for run in list(runner.runs):
            run.left -= 1
            old = run.steps - run.left >= CRASH_STEPS
            if old and (
                run.fingerprint == POISON
                or (runner.version == "v2" and self.rng.random() < 0.02)
            ):
                self.kill([runner])
                return
            if run.left <= 0:
                runner.runs.remove(run)
                self.done.append(run)
                self.quarantine.record_completion(run.fingerprint, self.now)
                self.verdicts.pop(run.fingerprint, None)

    def _place(self) -> None:
        waiting, self.waiting = self.waiting, []
        for run in waiting:
            verdict = self.verdicts.get(run.fingerprint)
            if verdict == "refused":
                self.refused.append(run.fingerprint)
            elif not self._send(run, verdict == "alone"):
                run.waited += 1
                self.waiting.append(run)

    def _send(self, run: _Run, alone: bool) -> bool:
        if alone:
            self.isolated.add(run.fingerprint)
            reserved = [r for r in self.runners if r.reserved_for is run]
            free = [r for r in self.runners if r.reserved_for is None]
            avoid = self.quarantine.find_versions_to_avoid(run.fingerprint)
            free.sort(key=lambda r: (r.version in avoid, len(r.runs)))
            choice = reserved or free
            if choice:
                choice[0].reserved_for = run
            if not choice or choice[0].runs:
                return False
            choice[0].runs.append(run)
            return True
        for runner in self.runners:
            done = runner.reserved_for is not None and not runner.runs
            if done and runner.reserved_for not in self.waiting:
                runner.reserved_for = None
        room = [
            r
            for r in self.runners
            if r.reserved_for is None and len(r.runs) < SLOTS
        ]
        if not room:
            return False
        self.rng.choice(room).runs.append(run)
        return True


class TestPoisonRequest:
    @pytest.mark.parametrize("seed", range(20))
    def test_costs_few_runners_and_no_innocent_request(
        self, seed: int
    ) -> None:
        """A poison request must be refused after it cost two runners.

        One request crashes each runner half a second after it starts, and its
        caller resends it a second later. Without a verdict one runner after
        another goes down, and the answers of all other requests on it are cut
        off.
        """
        play = Play(seed, runners=12)
        play.run(5, rate=12, poison=False)
        play.run(60, rate=12, poison=True)
        play.run(20, rate=0, poison=False)
        assert play.lost == 2
        assert POISON in play.refused
        assert set(play.refused) == {POISON}
        assert len(play.done) == play.count

    @pytest.mark.parametrize("seed", range(5))
    def test_in_a_quiet_fleet_costs_two_runners(self, seed: int) -> None:
        play = Play(seed, runners=5)
        play.run(30, rate=0.2, poison=True)
        assert play.lost == 2
        assert set(play.refused) == {POISON}

    def test_sent_over_several_gateways_at_once(self) -> None:
        """Three gateways send it before they learn of each other's losses."""
        quarantine = Quarantine()
        for n in range(3):
            quarantine.add(Loss(POISON, f"e{n}", "v1", 10.0 + n / 10, 4))
            quarantine.add(Loss(f"r{n}", f"e{n}", "v1", 10.0 + n / 10, 4))
        assert quarantine.compute_verdicts({"v1"}) == {POISON: "refused"}


class TestNotThePoison:
    @pytest.mark.parametrize("lost", [2, 4])
    @pytest.mark.parametrize("seed", range(10))
    def test_lost_failure_domain_makes_no_suspects(
        self, seed: int, lost: int
    ) -> None:
        """Two or four of twelve runners fail at once under long drafts."""
        play = Play(seed, runners=12)
        play.run(10, rate=12, poison=False)
        play.kill(play.runners[:lost])
        play.run(40, rate=2, poison=False)
        assert play.refused == []
        assert play.isolated == set()

    @pytest.mark.parametrize("seed", range(20))
    def test_bad_version_gets_no_request_refused(self, seed: int) -> None:
        """A new version crashes on any request, the old one does not."""
        play = Play(seed, runners=12, bad=5)
        play.run(60, rate=12, poison=False)
        play.run(30, rate=0, poison=False)
        assert play.lost == 5
        assert play.refused == []
        assert len(play.done) == play.count

    def test_two_losses_beside_others_do_not_convict(self) -> None:
        """An innocent request is on two runners that other requests crash."""
        quarantine = Quarantine()
        for n in range(2):
            quarantine.add(Loss("r1", f"e{n}", "v1", 10.0 * n, 1))
            quarantine.add(Loss(f"other{n}", f"e{n}", "v1", 10.0 * n, 1))
        assert quarantine.compute_verdicts({"v1"})["r1"] == "alone"

    def test_two_that_always_ran_together_are_not_told_apart(self) -> None:
        """Two requests on the same lost runners must not both be refused.

        Two gateways send a poison request and an innocent one to the same
        runners. A verdict by the number of losses alone would refuse the
        innocent one permanently; one more lost runner identifies the poison
        request.
        """
        quarantine = Quarantine()
        for n in range(3):
            quarantine.add(Loss(POISON, f"e{n}", "v1", 10.0 * n, 0))
            quarantine.add(Loss("r1", f"e{n}", "v1", 10.0 * n, 0))
        verdicts = {POISON: "alone", "r1": "alone"}
        assert quarantine.compute_verdicts({"v1"}) == verdicts
        quarantine.add(Loss(POISON, "e9", "v1", 50.0, 0))
        assert quarantine.compute_verdicts({"v1"}) == {POISON: "refused"}

    def test_bad_version_is_blamed(self) -> None:
        quarantine = Quarantine()
        for n in range(3):
            quarantine.add(Loss(f"r{n}", f"e{n}", "v2", 10.0 * n, 0))
        assert quarantine.find_faulty_versions() == {"v2"}
        assert quarantine.compute_verdicts({"v1", "v2"}) == {}

    def test_poison_does_not_get_its_version_blamed(self) -> None:
        quarantine = Quarantine()
        for n in range(4):
            quarantine.add(Loss(POISON, f"e{n}", "v2", 10.0 * n, 1))
            quarantine.add(Loss(f"r{n}", f"e{n}", "v2", 10.0 * n, 1))
        assert quarantine.find_faulty_versions() == frozenset()
        assert quarantine.compute_verdicts({"v1", "v2"})[POISON] == "alone"
        assert quarantine.find_versions_to_avoid(POISON) == {"v2"}
        quarantine.add(Loss(POISON, "e9", "v1", 50.0, 0))
        assert quarantine.compute_verdicts({"v1", "v2"})[POISON] == "refused"

    def test_popular_request_is_cleared_by_its_completions(self) -> None:
        """A request that runs everywhere is on each lost runner."""
        quarantine = Quarantine()
        for n in range(4):
            quarantine.add(Loss("popular", f"e{n}", "v1", 10.0 * n, 0))
            quarantine.record_completion("popular", 10.0 * n + 5)
        assert quarantine.compute_verdicts({"v1"}) == {}

    def test_two_losses_on_one_of_two_versions_do_not_convict(self) -> None:
        quarantine = Quarantine()
        for n in range(2):
            quarantine.add(Loss("r1", f"e{n}", "v2", 10.0 * n, 0))
        assert quarantine.compute_verdicts({"v1", "v2"}) == {"r1": "alone"}
        assert quarantine.compute_verdicts({"v2"}) == {"r1": "refused"}


class TestMerging:
    @given(st.randoms(use_true_random=False))
    def test_gateways_judge_alike_in_any_order(self, rng: Random) -> None:
        losses = [
            Loss(f"r{rng.randrange(4)}", f"e{rng.randrange(4)}", "v1", at, n)
            for n, at in enumerate((10.0, 11.0, 20.0, 20.5, 40.0))
        ]
        verdicts = []
        for _ in range(2):
            quarantine = Quarantine()
            for loss in rng.sample(losses, len(losses)):
                quarantine.add(loss)
            quarantine.record_completion("r0", 15.0)
            verdicts.append(quarantine.compute_verdicts({"v1"}))
        assert verdicts[0] == verdicts[1]

    def test_conviction_outlives_its_evidence(self) -> None:
        quarantine = Quarantine()
        quarantine.record_conviction(POISON)
        quarantine.record_completion(POISON, 10.0)
        quarantine.expire(before=1e9)
        assert quarantine.compute_verdicts(()) == {POISON: "refused"}
