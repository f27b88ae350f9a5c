"""Plays days on the users' bench and reads margins from its logs."""

import os
import signal
import subprocess
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple, Protocol

from lagoonpost.margins.log_reader import LogError, Logs, read_logs
from lagoonpost.margins.margin import Margin
from lagoonpost.margins.rules import find_margins
from search.day import Day, write_day

_BROKEN = "rules broken: "


class Play(NamedTuple):
    """Result of playing a day.

    Attributes:
        distances: Least distance to the bound of each rule, as a fraction of
            the bound; rules without a case are absent.
        told: Descriptions of the margins.
        broken: Rules that the bench reports as broken.
        died: Reason why the play failed; empty if it completed.
    """

    distances: dict[str, float]
    told: tuple[str, ...] = ()
    broken: str = ""
    died: str = ""


class Player(Protocol):
    """Plays days; must be thread-safe."""

    def play(self, number: int, day: Day) -> Play:
        """Play the day of a numbered trial and return the result."""
        ...


class BenchPlayer(NamedTuple):
    """Plays days on the users' bench.

    Attributes:
        bench: Program of the bench.
        site: File that describes the site.
        code: Checkout to run.
        folder: Folder for days and output of the bench.
        until: Seconds to play.
        wait: Timeout of a play in seconds.
        why: Reason of the play, for the bench's journal.
    """

    bench: Path
    site: Path
    code: Path
    folder: Path
    until: float
    wait: float
    why: str

    def play(self, number: int, day: Day) -> Play:
        """Play a day; its file, report and log are kept in the folder."""
        file = self.folder.absolute() / f"{number:04}.toml"
        report, log = file.with_suffix(".txt"), file.with_suffix(".log")
        file.write_text(write_day(day))
        command = [str(self.bench.absolute()), "run"]
        command += [str(self.site.absolute()), str(file)]
        options = f"--seed {day.seed} --until {self.until:g}".split()
        options += ["--no-cpu", "--log", "all", "--why", self.why]
        with (
            report.open("wb") as out,
            log.open("wb") as err,
            subprocess.Popen(
                [*command, *options],
                cwd=self.code,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                process_group=0,
            ) as process,
        ):
            try:
                status = process.wait(self.wait)
            except subprocess.TimeoutExpired:
                # The whole group, as the bench's children would outlive it.
                os.killpg(process.pid, signal.SIGKILL)
                return Play({}, died=f"no end after {self.wait:g} s")
        return read_play(status, report.read_text(errors="replace"), log)


def read_play(status: int, report: str, log: Path) -> Play:
    """Return the result from the bench's exit status, report and log."""
    broken = "".join(
        line.removeprefix(_BROKEN)
        for line in report.splitlines()
        if line.startswith(_BROKEN)
    )
    if status and not broken:
        last = log.read_text(errors="replace").strip().splitlines()[-1:]
        return Play({}, died=f"exit status {status}: {''.join(last)}")
    try:
        margins = find_margins(read_logs([log]))
    except LogError as error:
        return Play({}, broken=broken, died=f"no margins: {error}")
    return Play(
        find_least_distances(margins), describe_margins(margins), broken
    )


def find_least_distances(margins: Iterable[Margin]) -> dict[str, float]:
    """Return the least distance of each rule, as a fraction of its bound."""
    distances: dict[str, float] = {}
    for margin in margins:
        if margin.distance is None:
            continue
        distance = margin.distance / (margin.bound or 1.0)
        distances[margin.rule] = min(
            distance, distances.get(margin.rule, distance)
        )
    return distances


def describe_margins(margins: Iterable[Margin]) -> tuple[str, ...]:
    """Return descriptions of the margins that have a value and a bound."""
    return tuple(
        f"{margin.rule}{f' ({margin.subject})' if margin.subject else ''}: "
        f"{margin.value:.3f} {margin.unit}".rstrip()
        + f", bound {margin.bound:g}"
        for margin in margins
        if margin.value is not None and margin.bound is not None
    )


def list_rules() -> tuple[list[str], dict[str, str]]:
    """Return the rules with margins, and reasons why others have none."""
    margins = find_margins(Logs())
    reasons = {
        margin.rule: margin.untold for margin in margins if margin.untold
    }
    rules = dict.fromkeys(margin.rule for margin in margins)
    return [rule for rule in rules if rule not in reasons], reasons
