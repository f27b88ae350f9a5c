"""Plays a day on the users' bench and reads what its logs tell."""

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
    """What came of playing a day.

    Attributes:
        distances: Least distance to each rule's bound, as a part of the
            bound; a rule that no case occurred of is not there.
        told: The margins in words.
        broken: Rules that the bench says were broken.
        died: Why there was no whole play; empty if there was.
    """

    distances: dict[str, float]
    told: tuple[str, ...] = ()
    broken: str = ""
    died: str = ""


class Player(Protocol):
    """Plays days; called from several threads at once."""

    def play(self, number: int, day: Day) -> Play:
        """Return what came of playing a day, the number-th of the search."""
        ...


class BenchPlayer(NamedTuple):
    """Plays days on the users' bench.

    Attributes:
        bench: The program.
        site: File of the site.
        code: Checkout that is played.
        folder: Where the days and what the bench printed are kept.
        until: Seconds to play.
        wait: Seconds after which a play is given up.
        why: Line for the bench's journal.
    """

    bench: Path
    site: Path
    code: Path
    folder: Path
    until: float
    wait: float
    why: str

    def play(self, number: int, day: Day) -> Play:
        """Play a day; its file, report and log stay in the folder."""
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
                # The processes that it plays would go on without it.
                os.killpg(process.pid, signal.SIGKILL)
                return Play({}, died=f"no end after {self.wait:g} s")
        return read_play(status, report.read_text(errors="replace"), log)


def read_play(status: int, report: str, log: Path) -> Play:
    """Return what the bench's exit status, report and log tell."""
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
    """Return the least distance of each rule, as a part of its bound."""
    distances: dict[str, float] = {}
    for each in margins:
        if each.distance is None:
            continue
        distance = each.distance / (each.bound or 1.0)
        distances[each.rule] = min(
            distance, distances.get(each.rule, distance)
        )
    return distances


def describe_margins(margins: Iterable[Margin]) -> tuple[str, ...]:
    """Return the margins that occurred, in words."""
    return tuple(
        f"{each.rule}{f' ({each.subject})' if each.subject else ''}: "
        f"{each.value:.3f} {each.unit}".rstrip()
        + f", bound {each.bound:g}"
        for each in margins
        if each.value is not None and each.bound is not None
    )


def list_rules() -> tuple[list[str], dict[str, str]]:
    """Return the rules with a margin, and those that no log tells of."""
    margins = find_margins(Logs())
    untold = {each.rule: each.untold for each in margins if each.untold}
    told = dict.fromkeys(each.rule for each in margins)
    return [rule for rule in told if rule not in untold], untold
