"""Compares ways to find out what crashes runners, without a network.

Example: python -m bench.crashes --gateways 9 --seeds 3
"""

from collections.abc import Callable, Iterable
from contextlib import ExitStack
from typing import NamedTuple
from unittest.mock import patch

import click

from bench.crash_play import CrashPlay, Outcome, Scenario, Wave
from lagoonpost.systems import crash_causes
from lagoonpost.systems.crash_causes import CrashCauses, News
from lagoonpost.tables.crash import Crash, Soundness, Verdict


class ContentOnly(CrashCauses):
    """Judges whole requests only."""

    def may_send(self, causes: Iterable[str], now: float) -> bool:
        """Return whether a request may be sent to a runner."""
        return super().may_send(list(causes)[-1:], now)

    def note_cut_off(self, crash: Crash) -> None:
        """Record a run that ended near its start."""
        super().note_cut_off(crash._replace(causes=crash.causes[-1:]))


class NoSoundRuns(CrashCauses):
    """Counts crashes only."""

    def note_sound(
        self, causes: Iterable[str], began: float, now: float
    ) -> None:
        """Ignore a run that went on."""


class OwnSoundRuns(CrashCauses):
    """Counts sound runs only at the gateway that sent them."""

    def merge(self, news: News, now: float) -> None:
        """Add what another gateway has found."""
        if not isinstance(news, Soundness):
            super().merge(news, now)


class NothingKept(CrashCauses):
    """Leaves nothing in the store."""

    def list_verdicts(self) -> list[Verdict]:
        """Return nothing."""
        return []

    def list_evidence(self) -> list[Crash]:
        """Return nothing."""
        return []


class Way(NamedTuple):
    """One way to decide.

    Attributes:
        name: Name in the table.
        make: Makes the decision of one gateway.
        constants: Constants of the decision that differ.
    """

    name: str
    make: Callable[[], CrashCauses]
    constants: dict[str, float]


WAYS = (
    Way("whole requests", ContentOnly, {}),
    Way("crashes alone", NoSoundRuns, {"MIN_AGE_SECONDS": 0.0}),
    Way("own sound runs", OwnSoundRuns, {}),
    Way("no time for sound runs", CrashCauses, {"MIN_AGE_SECONDS": 0.0}),
    Way("each crash counts", CrashCauses, {"SIMULTANEOUS_SECONDS": -1.0}),
    Way(
        "an end after 10 s",
        CrashCauses,
        {"VERDICT_SECONDS": 10.0, "EVIDENCE_SECONDS": 10.0},
    ),
    Way("nothing in the store", NothingKept, {}),
    Way("as it is", CrashCauses, {}),
)
SIZES = {
    9: Scenario(9, 24, 25.0, 0.6),
    82: Scenario(82, 60, 60.0, 2.0),
    195: Scenario(195, 150, 120.0, 4.0),
}
WAVES = (Wave(20.5, 0.3), Wave(22.5, 0.3), Wave(24.5, 0.3))
CASES: dict[str, dict[str, object]] = {
    "middle": {"crashing": "middle"},
    "first": {"crashing": "first"},
    "middle, waves": {"crashing": "middle", "waves": WAVES},
    "waves alone": {"crashing_rate": 0.0, "waves": WAVES},
    "all killed at 23 s": {"crashing": "middle", "kill_at": 23.0},
}


def format_outcomes(outcomes: list[Outcome]) -> str:
    """Return the worst of several plays."""
    return (
        f"{max(len(each.crashes) for each in outcomes)}, "
        f"{max(each.late for each in outcomes)}, "
        f"{max(each.refused for each in outcomes)}, "
        f"{min(each.share for each in outcomes):.2f}"
    )


@click.command()
@click.option("--gateways", default=9, type=click.Choice(SIZES))
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
def main(gateways: int, seeds: int, seconds: float) -> None:
    """Print, for each way and case, the worst of several plays.

    Columns: crashes, late requests, sound requests refused, least share of
    sound requests that began.
    """
    for way in WAYS:
        for case, more in CASES.items():
            base = SIZES[gateways]._replace(seconds=seconds)
            scenario = base._replace(**more)  # type: ignore[arg-type]
            with ExitStack() as patches:
                for name, value in way.constants.items():
                    patches.enter_context(
                        patch.object(crash_causes, name, value)
                    )
                outcomes = [
                    CrashPlay(scenario, seed, way.make).run()
                    for seed in range(seeds)
                ]
            line = f"{gateways} | {way.name} | {case}"
            click.echo(f"{line} | {format_outcomes(outcomes)}")


if __name__ == "__main__":
    main()
