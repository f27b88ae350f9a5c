"""Command line of the search for days that come near to a bound."""

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
    """Return the rules that margins tell of; others get a note."""
    told, untold = list_rules()
    for name in names:
        if name not in told:
            why = untold.get(name, "no margin has this name")
            click.echo(f"left out: rule {name!r}: {why}", err=True)
    chosen = [name for name in names if name in told]
    if not chosen:
        raise click.UsageError(f"no rule to search for; known: {told}")
    return chosen


@click.command()
@click.argument("site", type=_FILE)
@click.argument("days", type=_FILE, nargs=-1, required=True)
@click.option("--bench", type=_FILE, required=True, help="Plays the days.")
@click.option("--rule", "names", multiple=True, required=True)
@click.option("--code", type=_FOLDER, default=Path("."), help="Is played.")
@click.option("--plays", type=click.IntRange(1), default=20, show_default=True)
@click.option("--minutes", default=float("inf"), help="Begin no play later.")
@click.option("--jobs", type=click.IntRange(1), default=4, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--until", default=26.0, show_default=True, help="Seconds.")
@click.option("--wait", default=300.0, show_default=True, help="For a play.")
@click.option("--even", is_flag=True, help="Draw each day anew.")
@click.option("--first", is_flag=True, help="Stop once a bound is passed.")
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
    """Search for days that come near to a rule's bound.

    The first --rule is the one whose bound is to be passed; distances of
    others are added to its, to lead where it tells nothing yet. Days and
    summary are written into --out. Exit code 1: a play broke a rule or
    died.

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
