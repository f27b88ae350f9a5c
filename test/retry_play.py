"""Plays the retry budgets of many gateways in simulated time.

Messages take some milliseconds, gateways are killed, rolled and cut off, and
each learns of the others with a delay. Arrivals are recorded at the runners.
"""

import asyncio
from bisect import bisect_left
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple

from memory_store import MemoryStore

from lagoonpost.forwarding.retry_budgets import RetryBudgets
from lagoonpost.http.message import Address, parse_address
from lagoonpost.systems.hub import MAX_MESH_GATEWAYS, MIN_HUBS
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.peer import Member

SERVICE = "desk"
START_SECONDS = 0.3
KNOWN_SECONDS = 1.0
"""Time after a start in which a gateway and the others don't know each other;
afterwards some time passes until a loss is noticed."""
DETECTION_SECONDS = 2.5
MESSAGE_SECONDS = 0.002
CALL_SECONDS = 0.006
MAX_OFFERS = 4


class Kill(NamedTuple):
    """Gateways that are killed; they start again soon."""

    at: float
    share: float = 1.0


class Cut(NamedTuple):
    """Gateways that are cut off from the others, not from the store."""

    at: float
    until: float
    share: float


class Silence(NamedTuple):
    """A time in which the store answers nobody."""

    at: float
    until: float


class Shift(NamedTuple):
    """A time from which the load and the failures are other ones.

    Attributes:
        at: Time in seconds.
        rate: Requests a second.
        failing: Share of offers that fail.
    """

    at: float
    rate: float
    failing: float


class Day(NamedTuple):
    """What is played.

    Attributes:
        gateways: Number of gateways.
        shifts: Load and failures over time.
        kills: Kills of some or all gateways.
        cuts: Cuts between gateways.
        silences: Outages of the store.
        seconds: Length of the day.
    """

    gateways: int
    shifts: Sequence[Shift]
    kills: Sequence[Kill] = ()
    cuts: Sequence[Cut] = ()
    silences: Sequence[Silence] = ()
    seconds: float = 30.0


class _PlayedStore(MemoryStore):
    """A store whose calls take some milliseconds, or have no answer."""

    def __init__(self, silences: Sequence[Silence]) -> None:
        super().__init__()
        self._silences = silences
        self.clock = self

    def estimate_now(self) -> float:
        return 1000.0 + _read_time()

    async def _inject_fault(self, call: str) -> str:
        self.calls.append(call)
        await asyncio.sleep(CALL_SECONDS)
        now = _read_time()
        if any(each.at <= now < each.until for each in self._silences):
            await asyncio.Event().wait()
        return ""


class _Post:
    """The datagrams of one process."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self._fleet = fleet
        self._number = number
        self.handlers: dict[type, Callable[[Any, Address], None]] = {}

    def set_handler(
        self, type_: type, handler: Callable[[Any, Address], None]
    ) -> None:
        self.handlers[type_] = handler

    def send(self, message: Any, targets: Sequence[Address]) -> None:
        loop = asyncio.get_running_loop()
        for target in targets:
            self._fleet.messages += 1
            loop.call_later(
                MESSAGE_SECONDS,
                self._fleet.deliver,
                self._number,
                target.port - 1,
                message,
            )


class _Process:
    """One run of a gateway."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.started = _read_time()
        self.post = _Post(fleet, number)
        self.budgets = RetryBudgets(
            f"g{number}",
            fleet.bounds,
            fleet.store,
            lambda: False,
            lambda: fleet.find_issuers(number),
            lambda: fleet.find_peers(number),
            lambda: fleet.count_gateways(number),
            fleet.rng,
            _read_time,
        )
        self.budgets.listen(self.post)


class Fleet:
    """Gateways, their callers and one service.

    Args:
        day: What is played.
        seed: Seed of all random choices.
        bounds: Ratio, floor and window of the budget.
        failing_gateways: Number of gateways whose offers fail; None for all.

    Attributes:
        requests: Times at which callers sent requests.
        retries: Times at which runners got further offers of a request.
        messages: Number of messages between gateways.
    """

    def __init__(
        self,
        day: Day,
        seed: int = 1,
        bounds: Bounds | None = None,
        failing_gateways: int | None = None,
    ) -> None:
        self._failing_gateways = failing_gateways or day.gateways
        self.day = day
        self.rng = Random(seed)
        self.bounds = bounds or Bounds(budget_floor=58.0)
        self.store = _PlayedStore(day.silences)
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.messages = 0
        self._processes: dict[int, _Process] = {}
        self._lost_at: dict[int, float] = {}
        self._cut: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Play the day."""
        day, loop = self.day, asyncio.get_running_loop()
        for number in range(day.gateways):
            self._start(number)
        for kill in day.kills:
            loop.call_at(kill.at, self._kill, kill.share)
        for cut in day.cuts:
            loop.call_at(cut.at, self._begin_cut, cut)
            loop.call_at(cut.until, self._cut.clear)
        while _read_time() < day.seconds:
            shift = [each for each in day.shifts if each.at <= _read_time()][
                -1
            ]
            await asyncio.sleep(self.rng.expovariate(shift.rate))
            self._spawn(self._send_request(shift.failing))
        for task in self._tasks:
            task.cancel()

    def find_worst(self) -> tuple[float, float]:
        """Return the most retries of a window and what the rule allows."""
        window = self.bounds.budget_window

        def count(times: Sequence[float], start: float) -> int:
            end = bisect_left(times, start + window)
            return end - bisect_left(times, start)

        self.retries.sort()
        found = []
        for start in self.retries:
            sent = max(
                count(self.requests, begin)
                for begin in (start, start - window / 2, start - window)
            )
            allowed = self.bounds.budget_ratio * sent
            allowed += self.bounds.budget_floor
            found.append((count(self.retries, start), allowed))
        return max(found, key=lambda each: each[0] / each[1], default=(0, 1.0))

    # Callers

    async def _send_request(self, failing: float) -> None:
        self.requests.append(_read_time())
        number = self.rng.randrange(self.day.gateways)
        process = self._processes.get(number)
        if process is None:
            return
        if number >= self._failing_gateways:
            failing = 0.0
        process.budgets.note_request(SERVICE)
        for _ in range(MAX_OFFERS - 1):
            if self.rng.random() >= failing:
                return
            await asyncio.sleep(self.rng.choice((0.002, 0.05, 0.8)))
            if not await process.budgets.acquire(SERVICE):
                return
            # A process that was killed sends nothing more.
            if self._processes.get(number) is not process:
                return
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            self.retries.append(_read_time())

    # Gateways

    def _start(self, number: int) -> None:
        self._processes[number] = _Process(self, number)
        self._lost_at.pop(number, None)

    def _kill(self, share: float) -> None:
        count = max(1, round(share * self.day.gateways))
        for number in self.rng.sample(range(self.day.gateways), count):
            if self._processes.pop(number, None) is None:
                continue
            self._lost_at[number] = _read_time()
            delay = START_SECONDS + self.rng.uniform(0.0, 0.3)
            asyncio.get_running_loop().call_later(delay, self._start, number)

    def _begin_cut(self, cut: Cut) -> None:
        count = max(1, round(cut.share * self.day.gateways))
        for number in self.rng.sample(range(self.day.gateways), count):
            self._cut[number] = cut.at

    def deliver(self, sender: int, target: int, message: Any) -> None:
        """Deliver a datagram, unless a cut or a kill loses it."""
        process = self._processes.get(target)
        if process is None or (sender in self._cut) != (target in self._cut):
            return
        handler = process.post.handlers[type(message)]
        handler(message, parse_address(f"10.0.0.1:{1 + sender}"))

    # Views of one gateway

    def _is_seen(self, viewer: int, number: int) -> bool:
        now = _read_time()
        own = self._processes.get(viewer)
        if number == viewer:
            return True
        if own is None or (own.started and now < own.started + KNOWN_SECONDS):
            return False
        if (viewer in self._cut) != (number in self._cut):
            since = max(self._cut.values())
            return now < since + DETECTION_SECONDS
        process = self._processes.get(number)
        if process is None:
            return now < self._lost_at[number] + DETECTION_SECONDS
        return not process.started or now >= process.started + KNOWN_SECONDS

    def _list_seen(self, viewer: int) -> list[int]:
        return [
            number
            for number in range(self.day.gateways)
            if self._is_seen(viewer, number)
        ]

    def find_issuers(self, viewer: int) -> list[str]:
        """Return the gateways that one may ask: the oldest of many."""
        seen = self._list_seen(viewer)
        if self.day.gateways > MAX_MESH_GATEWAYS:
            seen.sort(key=self._find_age)
            seen = seen[:MIN_HUBS]
        return [f"g{number}" for number in seen]

    def _find_age(self, number: int) -> tuple[float, int]:
        process = self._processes.get(number)
        return (process.started if process else 0.0, number)

    def find_peers(self, viewer: int) -> list[Member]:
        """Return the other gateways that one knows."""
        return [
            Member(
                f"g{number}",
                f"10.0.0.1:{1 + number}",
                "gateway",
                "r",
                "a",
                number,
            )
            for number in self._list_seen(viewer)
            if number != viewer
        ]

    def count_gateways(self, viewer: int) -> int:
        """Return the gateways that one counts, lost ones included."""
        own = self._processes.get(viewer)
        if own is None or (
            own.started and _read_time() < own.started + KNOWN_SECONDS
        ):
            return 1
        return self.day.gateways

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _read_time() -> float:
    return asyncio.get_running_loop().time()
