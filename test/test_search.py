"""Tests the search for days close to a bound: draws, guidance, results."""

import json
import re
import sys
import time
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from margin_logs import make_started, make_usage

from lagoonpost.margins.duties import RETURN_BY_CALLS, RETURN_BY_LEASE
from search.__main__ import main
from search.day import Day, DayError, read_days, write_day
from search.loop import Limits, search
from search.mutation import Mutator
from search.player import BenchPlayer, Play
from search.selection import DaySelector

UNTIL = 26.0
RULES = (RETURN_BY_CALLS,)
DAYS = sorted(Path("deploy/days").glob("*.toml"))
START = Day(
    "rolls",
    7,
    events=(
        {"at": 4.0, "kind": "roll_term", "share": 0.4, "gap_s": 1.0},
        {"at": 3.0, "kind": "burst", "x": 2.5, "for_s": 2.0},
        {"at": 9.0, "kind": "scale_in", "how": "reclaim", "count": 2},
    ),
    planned_count=1,
    other_fields={"slot": "trouble", "goal": {"floor": 0.2}, "labels": []},
)


class Landscape:
    """Simulates plays: days are close if two events occur at given times.

    If the times are far off, the day has no margin. The seed of a day adds
    noise to its margin.
    """

    def __init__(self, pause: float = 0.0) -> None:
        self._pause = Random(1)
        self._most = pause

    def play(self, number: int, day: Day) -> Play:
        time.sleep(self._pause.uniform(0, self._most))
        roll, _, reclaim = (float(event["at"]) for event in day.events)
        off = abs(roll - 5.1) + abs(reclaim - 8.2)
        distance = off / 2 + Random(day.seed).uniform(-0.7, 1.0)
        return Play({RETURN_BY_CALLS: distance} if distance < 1.6 else {})


class Dying(Landscape):
    """Fails the fourth play."""

    def play(self, number: int, day: Day) -> Play:
        if number == 4:
            raise OSError("no bench")
        return super().play(number, day)


def make_chooser(seed: int, even: bool = False) -> DaySelector:
    return DaySelector([START], RULES, Mutator([START], UNTIL), seed, even)


def count_plays(seed: int, even: bool) -> int:
    """Return the number of the first play past the bound, at most 400."""
    limits = Limits(400, first=True)
    return len(search(make_chooser(seed, even), Landscape(), RULES, limits))


def list_days(seed: int, jobs: int, pause: float) -> list[Day]:
    """Return the days of 40 plays that take up to ``pause`` seconds each."""
    chooser = make_chooser(seed)
    results = search(chooser, Landscape(pause), RULES, Limits(40, jobs=jobs))
    return [result.trial.day for result in results]


class TestChanges:
    @pytest.mark.parametrize("seed", range(10))
    def test_changed_days_are_valid(self, seed, tmp_path):
        """Guards against sequences of mutations that yield invalid days."""
        rng, file = Random(seed), tmp_path / "day.toml"
        starts = [START, *(day for file in DAYS for day in read_days(file))]
        mutator = Mutator(starts, UNTIL)
        day = mutator.randomize(rng, rng.choice(starts)).day
        for _ in range(100):
            day = mutator.mutate(rng, day).day
            file.write_text(write_day(day, "a comment"))
            assert read_days(file) == [day]

    def test_one_thing_changes(self):
        """A mutation leaves all but one part of a day unchanged, or two."""
        rng, mutator = Random(3), Mutator([START], UNTIL)
        for _ in range(100):
            changed = mutator.mutate(rng, START)
            parts = zip(
                [START.seed, *START.events],
                [changed.day.seed, *changed.day.events],
                strict=True,
            )
            differ = sum(before != after for before, after in parts)
            assert differ <= (2 if " and " in changed.description else 1)


class TestLead:
    def test_it_needs_fewer_plays_than_even_draws(self):
        """Holds for the sum over all seeds and for most seeds."""
        pairs = [
            (count_plays(seed, even=False), count_plays(seed, even=True))
            for seed in range(1, 21)
        ]
        guided, even = map(sum, zip(*pairs, strict=True))
        assert guided < even / 2
        assert sum(led < drawn for led, drawn in pairs) > len(pairs) / 2

    def test_a_seed_draws_the_same_days_whichever_play_ends_first(self):
        """Guards against draws that depend on the timing of plays.

        Results must be recorded in the order of the draws.
        """
        assert list_days(5, jobs=4, pause=0.004) == list_days(5, 4, 0.0)
        assert list_days(5, jobs=4, pause=0.0) != list_days(6, 4, 0.0)

    def test_a_play_that_dies_is_kept(self):
        """A failed play does not end the search and is not mutated further."""
        chooser = make_chooser(2)
        results = search(chooser, Dying(), RULES, Limits(12, jobs=3))
        assert len(results) == 12
        assert results[3].play.died == "OSError: no bench"
        assert 4 not in {kept.trial.number for kept in chooser.kept}


class TestDayFiles:
    @pytest.mark.parametrize(
        ("before", "after", "detail"),
        [
            ("share = 0.4", "share = 1.4", "line 8: .*<= 1.0.*share"),
            ("x = 2.5", 'x = "2"', "line 11: .*float.*str.*faults.0..x"),
            ("count = 2", "cuont = 2", "line 12: .*unknown field `cuont`"),
            ("at = 9.0, ", "", "line 12: .*required field `at`"),
            ("seed = 7", "seed = 7.5", "line 3: .*int.*float.*seed"),
            ("seed = 7", "", "line 1: .*required field `seed`"),
            ("seed = 7", "seed = ", "line 3, column"),
            ("[[day]]", "[day]", "line 1: day: no"),
        ],
    )
    def test_a_faulty_day_names_file_line_and_field(
        self, before, after, detail, tmp_path
    ):
        file = tmp_path / "odd.toml"
        text = write_day(START)
        assert before in text
        file.write_text(text.replace(before, after))
        with pytest.raises(DayError) as caught:
            read_days(file)
        assert str(file) in str(caught.value)
        assert re.search(detail, str(caught.value))


BENCH = """\
import sys
where = sys.argv.index("--seed")
if int(sys.argv[where + 1]) % 2:
    print("no such kind", file=sys.stderr)
    sys.exit(1)
print("rules broken: ONE 1")
print({log!r}, file=sys.stderr)
sys.exit(1)
"""


def test_a_play_without_an_end_is_given_up(tmp_path):
    bench = tmp_path / "bench"
    bench.write_text("#!/bin/sh\nsleep 600\n")
    bench.chmod(0o755)
    here = Path()
    player = BenchPlayer(bench, here, here, tmp_path, UNTIL, 0.1, "a try")
    assert player.play(1, START).died == "no end after 0.1 s"


class TestCommand:
    def run(self, folder: Path, *more: str):
        """Search with a bench that breaks even seeds and fails on odd ones."""
        usages = [
            ("a", make_usage(1.0, 1, holder="a")),
            ("b", make_usage(2.0, 2, holder="b")),
            ("a", make_usage(3.4, 3, holder="a")),
        ]
        lines = [("a", make_started(0.0, "a")), *usages]
        log = "\n".join(
            f"{number}.0 {name} {json.dumps(line)}"
            for number, (name, line) in enumerate(lines)
        )
        bench = folder / "bench"
        bench.write_text(f"#!{sys.executable}\n{BENCH.format(log=log)}")
        bench.chmod(0o755)
        day = folder / "day.toml"
        day.write_text(write_day(START))
        arguments = [str(day), str(day), "--bench", str(bench)]
        arguments += ["--out", str(folder / "out"), "--plays", "6", *more]
        return CliRunner().invoke(main, arguments)

    def test_findings_are_written_and_unknown_rules_left_out(self, tmp_path):
        result = self.run(
            tmp_path,
            *("--rule", RETURN_BY_CALLS, "--rule", "nonsense"),
            *("--rule", "requests that run more than once"),
        )
        assert result.exit_code == 1
        assert "'nonsense': no margin has this name" in result.output
        assert "once': no line says whether" in result.output
        out = tmp_path / "out"
        summary = json.loads((out / "summary.json").read_text())
        assert summary["rules"] == [RETURN_BY_CALLS]
        assert summary["findings"] == [1, 2, 3, 4, 5, 6]
        for row in summary["rows"]:
            file = out / f"finding-{row['number']}.toml"
            (day,) = read_days(file)
            assert day.seed == row["seed"]
            if row["seed"] % 2:
                assert row["died"] == "exit status 1: no such kind"
                assert "DIED exit status 1" in file.read_text()
            else:
                assert row["broken"] == "ONE 1"
                assert row["distances"][RETURN_BY_CALLS] < 0
                assert f"{RETURN_BY_CALLS} (usage): 2." in file.read_text()
        assert {row["seed"] % 2 for row in summary["rows"]} == {0, 1}

    def test_no_known_rule_is_an_error(self, tmp_path):
        result = self.run(tmp_path, "--rule", "nonsense")
        assert result.exit_code == 2
        assert RETURN_BY_LEASE in result.output
