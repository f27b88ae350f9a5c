"""Command line of the soak test: runs seeds and reports broken promises."""

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
    check_brittle_runners,
    check_configuration,
    check_crashing_parts,
    check_crashing_requests,
    check_departures,
    check_draining,
    check_duties,
    check_limits,
    check_partitions,
    check_recovery,
    check_rests,
)
from soak.quota_promises import check_quota
from soak.record import Finding
from soak.retry_promises import check_retries
from soak.system import SoakSystem

SETTLE_SECONDS = 6.0
"""Time without faults before all calls must be served again: gateways notice
a lost store connection within 3 seconds, and runners renew their entries
within 2."""


class Options(NamedTuple):
    """Size of one soak run.

    Attributes:
        gateways: Number of gateway processes.
        runners: Number of runners of each of two services.
        callers: Number of concurrent callers.
        seconds: Seconds in which faults are injected.
        pause: Mean seconds between the starts of two faults.
    """

    gateways: int
    runners: int
    callers: int
    seconds: float
    pause: float


class Result(NamedTuple):
    """Result of one seed.

    Attributes:
        seed: The seed.
        steps: Injected faults.
        outcomes: Number of attempts by kind and status.
        findings: Promises that did not hold.
    """

    seed: int
    steps: list[PlannedFault]
    outcomes: Counter[str]
    findings: list[Finding]


async def play(seed: int, options: Options, keep: Path) -> Result:
    """Run one seed; keep the logs in ``keep`` if there are findings."""
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
        findings += check_brittle_runners(system)
        findings += check_limits(system)
        findings += check_departures(system)
        findings += check_rests(system, callers.attempts)
        findings += check_crashing_parts(system)
        findings += check_crashing_requests(system)
        findings += check_retries(system, callers.attempts)
        findings += check_quota(system)
        findings += check_partitions(system, callers.attempts)
        findings += await check_recovery(system, callers)
        if findings:
            _save_findings(system, seed, findings, keep)
    outcomes = Counter(
        f"{attempt.kind} {attempt.status if attempt.whole else 'cut'}"
        for attempt in callers.attempts
    )
    outcomes.update(
        {f"pressed {status}": n for status, n in callers.pressed.items()}
    )
    return Result(seed, steps, outcomes, findings)


def _save_findings(
    system: SoakSystem, seed: int, findings: list[Finding], keep: Path
) -> None:
    folder = keep / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for process in system.gateways:
        shutil.copy(process.log, folder)
    lines = [f"{finding.promise}: {finding.detail}" for finding in findings]
    lines += [str(span) for span in system.spans]
    (folder / "findings.txt").write_text("\n".join(lines) + "\n")


@click.command()
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Seed to run; repeatable."
)
@click.option("--fresh", default=0, help="Number of random seeds to run.")
@click.option("--first", default=0, help="First of --count consecutive seeds.")
@click.option("--count", default=0, help="Number of consecutive seeds to run.")
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
    """Run seeds of the soak test, one after the other.

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
    for finding in result.findings:
        click.echo(f"  NOT HELD {finding.promise}: {finding.detail}")


if __name__ == "__main__":
    main()
