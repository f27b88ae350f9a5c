"""Command line of the soak: plays seeds and reports what did not hold."""

import asyncio
import shutil
import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import NamedTuple

import click

from soak.callers import Callers
from soak.faults import PlannedFault, inject_faults, plan_faults
from soak.promises import (
    check_applied_in_time,
    check_attempts,
    check_configuration,
    check_draining,
    check_duties,
    check_recovery,
)
from soak.record import Finding
from soak.system import SoakSystem

SETTLE_SECONDS = 6.0
"""Calm time before all must be served again: a lost store connection is
noticed within three, and entries are written anew within two."""


class Options(NamedTuple):
    """Size of one soak.

    Attributes:
        gateways: Processes of the product.
        runners: Runners of each of two services.
        callers: Callers at once.
        seconds: Time in which disturbances come.
        pause: Mean seconds between two disturbances.
    """

    gateways: int
    runners: int
    callers: int
    seconds: float
    pause: float


class Result(NamedTuple):
    """What one seed gave."""

    seed: int
    steps: list[PlannedFault]
    outcomes: Counter[str]
    findings: list[Finding]


async def play(seed: int, options: Options, keep: Path) -> Result:
    """Play one seed; logs are kept if something did not hold."""
    rng = Random(seed)
    steps = plan_faults(rng, options.seconds, options.pause)
    async with SoakSystem(options.gateways, options.runners) as system:
        callers = Callers(system, rng)
        calling = asyncio.create_task(callers.run(options.callers))
        await inject_faults(system, steps)
        await asyncio.sleep(SETTLE_SECONDS)
        callers.stop()
        await calling
        findings = check_attempts(system, callers.attempts)
        findings += check_draining(system)
        findings += check_configuration(callers)
        findings += check_applied_in_time(system, callers)
        findings += check_duties(system)
        findings += await check_recovery(system, callers)
        if findings:
            _keep(system, seed, findings, keep)
    outcomes = Counter(
        f"{each.kind} {each.status if each.whole else 'cut'}"
        for each in callers.attempts
    )
    return Result(seed, steps, outcomes, findings)


def _keep(
    system: SoakSystem, seed: int, findings: list[Finding], keep: Path
) -> None:
    folder = keep / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for process in system.gateways:
        shutil.copy(process.log, folder)
    lines = [f"{each.promise}: {each.detail}" for each in findings]
    lines += [str(span) for span in system.spans]
    (folder / "findings.txt").write_text("\n".join(lines) + "\n")


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Play these.")
@click.option("--fresh", default=0, help="Play so many seeds drawn now.")
@click.option("--first", default=0, help="First of --count seeds in a row.")
@click.option("--count", default=0, help="Play so many seeds in a row.")
@click.option("--gateways", default=4, show_default=True)
@click.option("--runners", default=3, show_default=True)
@click.option("--callers", default=12, show_default=True)
@click.option("--seconds", default=14.0, show_default=True)
@click.option("--pause", default=0.8, show_default=True)
@click.option("--keep", type=Path, default=Path("build/soak"))
def main(
    seeds: tuple[int, ...],
    fresh: int,
    first: int,
    count: int,
    keep: Path,
    **sizes: float,
) -> None:
    """Play seeds of the soak, one after the other.

    Example: python -m soak --first 1 --count 50
    """
    chosen = [*seeds, *range(first, first + count)]
    chosen += [Random().randrange(1 << 30) for _ in range(fresh)]
    options = Options(**sizes)  # type: ignore[arg-type]
    failed = 0
    for seed in chosen:
        result = asyncio.run(play(seed, options, keep))
        failed += bool(result.findings)
        _print(result)
    click.echo(f"{len(chosen)} seeds played, {failed} with findings")
    sys.exit(1 if failed else 0)


def _print(result: Result) -> None:
    what = Counter(step.what for step in result.steps)
    click.echo(
        f"seed {result.seed}: {dict(sorted(what.items()))} "
        f"answers {dict(sorted(result.outcomes.items()))}"
    )
    for each in result.findings:
        click.echo(f"  NOT HELD {each.promise}: {each.detail}")


if __name__ == "__main__":
    main()
