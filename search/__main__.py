"""Command line of the search for days close to a rule's bound."""

import sys
from pathlib import Path

import click

from search.day import DayError, read_days
from search.loop import Limits, search
from search.mutation import Mutator
from search.player import BenchPlayer, list_rules
from search.selection import DaySelector, TrialResult
from search.summary import (
    describe_result,
    format_summary,
    make_summary,
    write_all,
)

_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
_FOLDER = click.Path(file_okay=False, path_type=Path)


def choose_rules(names: tuple[str, ...]) -> list[str]:
    """Return the rules that have a margin; report the others on stderr.

    Raises:
        click.UsageError: If no rule has a margin.
    """
    measurable, unmeasurable = list_rules()
    for name in names:
        if name not in measurable:
            why = unmeasurable.get(name, "no margin has this name")
            click.echo(f"left out: rule {name!r}: {why}", err=True)
    chosen = [name for name in names if name in measurable]
    if not chosen:
        raise click.UsageError(f"no rule to search for; known: {measurable}")
    return chosen


@click.command()
@click.argument("site", type=_FILE)
@click.argument("days", type=_FILE, nargs=-1, required=True)
@click.option("--bench", type=_FILE, required=True, help="Bench program.")
@click.option("--rule", "names", multiple=True, required=True)
@click.option(
    "--code", type=_FOLDER, default=Path("."), help="Checkout to run."
)
@click.option("--plays", type=click.IntRange(1), default=20, show_default=True)
@click.option(
    "--minutes", default=float("inf"), help="Start no play after this time."
)
@click.option("--jobs", type=click.IntRange(1), default=4, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--until", default=26.0, show_default=True, help="Seconds to play."
)
@click.option(
    "--wait",
    default=300.0,
    show_default=True,
    help="Timeout of a play in seconds.",
)
@click.option("--even", is_flag=True, help="Draw days without guidance.")
@click.option(
    "--first", is_flag=True, help="Stop at the first play past the bound."
)
@click.option("--why", default="search for days near to a bound")
@click.option("--out", type=_FOLDER, default=Path("build/search"))
def main(
    site: Path,
    days: tuple[Path, ...],
    bench: Path,
    names: tuple[str, ...],
    code: Path,
    plays: int,
    minutes: float,
    jobs: int,
    seed: int,
    until: float,
    wait: float,
    even: bool,
    first: bool,
    why: str,
    out: Path,
) -> None:
    """Search for days that come close to a rule's bound.

    The search aims to pass the bound of the first --rule. The distances of
    the other rules are added to its distance, to guide the search while the
    first rule has no cases. Days and a summary are written to --out. The exit
    code is 1 if a play broke a rule or failed.

    Example: python -m search SITE DAY --bench PROGRAM
    --rule "holder back by its calls" --plays 40 --seed 1
    """
    rules = choose_rules(names)
    try:
        starts = [day for path in days for day in read_days(path)]
    except DayError as error:
        raise click.ClickException(str(error)) from error
    folder = out / "plays"
    folder.mkdir(parents=True, exist_ok=True)
    player = BenchPlayer(bench, site, code, folder, until, wait, why)
    chooser = DaySelector(starts, rules, Mutator(starts, until), seed, even)
    limits = Limits(plays, minutes * 60, jobs, first)
    results = search(chooser, player, rules, limits, _report)
    summary = make_summary(results, rules, seed, even)
    write_all(out, results, summary)
    click.echo(format_summary(summary), nl=False)
    sys.exit(1 if summary.findings else 0)


def _report(played: TrialResult) -> None:
    click.echo(describe_result(played), err=True)


if __name__ == "__main__":
    main()
