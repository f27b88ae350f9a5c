"""Compares ways to obey runners' wish for rest: `python -m bench.rests`.

Each way is played without a network: requests in rests beyond those that are
allowed, the worst of the draws, and the mean share of callers served in time.
"""

from statistics import mean

import click

from bench.rest_play import Gateway, Play, Trouble
from lagoonpost.tables.endpoint import Endpoint

SECONDS = 30.0
COUNTS = (9, 82, 195)
TROUBLES = {
    "one of 6 turns all away for 20 s, rest 3 s": Trouble(0.6, 3, 20, 1, 1),
    "four of 6 turn all away for 15 s, rest 3 s": Trouble(0.6, 3, 15, 4, 1),
    "all turn all away for 4 s, rest 1 s": Trouble(0.6, 1, 4, 6, 1),
    "all turn half away for 15 s, rest 1 s": Trouble(0.6, 1, 15, 6, 0.5),
    "all turn half away for 15 s, rest 3 s": Trouble(0.6, 3, 15, 6, 0.5),
    "1.5 times the load for 15 s, rest 0.5 s": Trouble(1.5, 0.5, 15),
    "1.5 times the load for 15 s, rest 3 s": Trouble(1.5, 3, 15),
}


class Ignoring(Gateway):
    """Offers requests by load only."""

    def may_send(self, runner: Endpoint, known: int, now: float) -> bool:
        """Return whether a runner may get a request now."""
        return True


class Waiting(Gateway):
    """Obeys rests, and waits a little for their end."""

    def may_send(self, runner: Endpoint, known: int, now: float) -> bool:
        """Return whether a runner may get a request now."""
        return self.notices.may_send(runner, now)


class Refusing(Waiting):
    """Obeys rests, and refuses at once if all runners rest."""

    wait_seconds = 0.0


WAYS: dict[str, tuple[type[Gateway], bool]] = {
    "rests are ignored": (Ignoring, False),
    "obeyed, refused at once": (Refusing, False),
    "obeyed, a short wait": (Waiting, False),
    "the same, told to all gateways": (Waiting, True),
    "a short wait, slots once full": (Gateway, False),
}


@click.command()
@click.option("--draws", default=2, show_default=True, help="Plays of each.")
def main(draws: int) -> None:
    """Print a table of the ways."""
    for name, trouble in TROUBLES.items():
        click.echo(name)
        for way, (make, tells_all) in WAYS.items():
            columns = [
                _play(count, trouble, make, tells_all, draws)
                for count in COUNTS
            ]
            click.echo(f"  {way:32}" + "".join(columns))


def _play(
    count: int,
    trouble: Trouble,
    make: type[Gateway],
    tells_all: bool,
    draws: int,
) -> str:
    breaks, shares = [], []
    for seed in range(draws):
        play = Play(count, trouble, seed, make, tells_all)
        play.play(SECONDS)
        breaks.append(play.breaks)
        shares.append(play.find_share())
    return f" | {count}: breaks {max(breaks):6d}, {mean(shares):5.3f}"


if __name__ == "__main__":
    main()
