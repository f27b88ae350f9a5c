"""Which gateway is the leader and when that changes, with a memory store."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, TypeVar

import msgspec
import pytest
from memory_store import MemoryStore

from lagoonpost.forwarding import duties
from lagoonpost.forwarding.duties import (
    LATE_CALL_SECONDS,
    LEASE_NAME,
    LeaderDuties,
)
from lagoonpost.platform.cloud import CloudOutcome, Duty
from lagoonpost.store.clock import read_clock
from lagoonpost.store.lease import LEASE_PREFIX
from lagoonpost.systems.hub import DUTY_CONTENDERS, Roles
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.lease import LeaseRow

LEASE_KEY = LEASE_PREFIX + LEASE_NAME
LOOKS = 6
PATIENCE = 20.0
OWN = "gateway-5"
BOUNDS = Bounds(lease_seconds=0.5)
WINDOW = 5
_T = TypeVar("_T")


class Desk:
    """Receives usage reports, and answers once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.begun = 0
        self.may_answer = asyncio.Event()
        self.outcome: CloudOutcome = "done"
        self.duty: Duty | None = None

    async def report_usage(
        self, duty: Duty, window: int, counts: dict[str, int]
    ) -> CloudOutcome:
        self.begun += 1
        self.duty = duty
        await self.may_answer.wait()
        return self.outcome


class Gateway:
    """One gateway's duties; the other gateways are only names."""

    def __init__(self, store: MemoryStore, first_start: bool = True) -> None:
        self.store = store
        self.desk = Desk()
        self.looks = 0
        self.hubs: tuple[str, ...] = (OWN,)
        settings = SimpleNamespace(
            name=OWN,
            bounds=BOUNDS,
            reports_usage=True,
            orders_runners=False,
            first_start=first_start,
        )
        shared = SimpleNamespace(
            find_roles=self._find_roles,
            find_others=tuple,
            reports=SimpleNamespace(run_id="run", list_reports=list),
            usage_gossip=SimpleNamespace(
                usage={}, publish_usage=lambda window, counts: None
            ),
        )
        parts: tuple[Any, ...] = (settings, store, self.desk, None, shared)
        self.duties = LeaderDuties(*parts, lambda: 5.0 * (WINDOW + 1), base=1)

    def _find_roles(self) -> Roles:
        self.looks += 1
        hubs = frozenset(self.hubs)
        return Roles(
            self.hubs,
            hubs,
            True,
            contenders=self.hubs[:DUTY_CONTENDERS],
            eligible_holders=hubs,
        )

    def read_lease(self) -> LeaseRow:
        """Return the lease in the store."""
        return msgspec.convert(self.store.rows[LEASE_KEY].value, LeaseRow)

    async def look_on(self) -> None:
        """Wait until the gateway has checked the roles some times."""
        looks = self.looks + LOOKS
        await wait_until(lambda: self.looks >= looks)


def play(
    story: Callable[[Gateway], Awaitable[_T]], first_start: bool = True
) -> _T:
    """Run a scenario of one gateway."""

    async def run() -> _T:
        gateway = Gateway(MemoryStore(), first_start)
        task = asyncio.create_task(gateway.duties.run())
        try:
            return await story(gateway)
        finally:
            task.cancel()

    return asyncio.run(run())


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def look_often(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(duties, "POLL_SECONDS", 0.25)


class TestHolder:
    def test_holder_stays_when_others_come(self) -> None:
        """Guards against a restart that displaces a healthy leader."""

        async def story(gateway: Gateway) -> None:
            gateway.desk.may_answer.set()
            await wait_until(gateway.duties.is_held)
            others = tuple(f"gateway-{number}" for number in range(1, 5))
            gateway.hubs = (*others, OWN)
            await gateway.look_on()
            assert gateway.duties.is_held()
            assert gateway.read_lease().holder == OWN
            assert gateway.read_lease().fence == 1

        play(story)

    def test_holder_that_no_longer_hears_all_gives_it_away(self) -> None:
        """Guards against counts and orders based on a part of the reports."""

        async def story(gateway: Gateway) -> None:
            gateway.desk.may_answer.set()
            await wait_until(gateway.duties.is_held)
            gateway.hubs = ("gateway-1", "gateway-2", "gateway-3")
            await wait_until(lambda: gateway.read_lease().holder == "")
            assert not gateway.duties.is_held()

        play(story)


class TestStart:
    def test_duties_wait_until_the_others_are_heard(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against usage and orders based on one gateway's requests."""
        monkeypatch.setattr(duties, "REPORT_WAIT_SECONDS", 3600.0)

        async def story(gateway: Gateway) -> None:
            await gateway.look_on()
            assert not gateway.duties.is_contender()
            assert LEASE_KEY not in gateway.store.rows

        play(story, first_start=False)


class TestRelease:
    def test_lease_is_kept_while_a_call_is_under_way(self) -> None:
        """Guards against a call that ends after the next leader's began."""

        async def story(gateway: Gateway) -> None:
            await wait_until(lambda: gateway.desk.begun > 0)
            await gateway.duties.release()
            assert gateway.read_lease().holder == OWN
            assert not gateway.duties.is_held()
            gateway.desk.may_answer.set()
            await wait_until(lambda: gateway.read_lease().holder == "")
            assert gateway.desk.begun == 1

        play(story)

    def test_leaving_gateway_does_not_take_the_lease_again(self) -> None:
        """Guards against a leader whose process is about to end."""

        async def story(gateway: Gateway) -> None:
            gateway.desk.may_answer.set()
            await wait_until(gateway.duties.is_held)
            await gateway.duties.release()
            await gateway.look_on()
            assert gateway.read_lease().holder == ""
            assert gateway.read_lease().fence == 1

        play(story)

    def test_call_under_way_may_not_leave_once_the_lease_is_given_away(
        self,
    ) -> None:
        """Guards against a late call whose connection was slow to open."""

        async def story(gateway: Gateway) -> None:
            await wait_until(lambda: gateway.desk.begun > 0)
            duty = gateway.desk.duty
            assert duty is not None
            assert duty.may_send()
            await gateway.duties.release()
            assert not duty.may_send()

        play(story)


class TestWork:
    @pytest.mark.parametrize(
        ("outcome", "seconds"), [("done", 0.0), ("unknown", LATE_CALL_SECONDS)]
    )
    def test_call_counts_as_work_until_its_effect_is_known(
        self, outcome: CloudOutcome, seconds: float
    ) -> None:
        """Guards against effects in the order A, B, A by a late call."""

        async def story(gateway: Gateway) -> None:
            gateway.desk.outcome = outcome
            gateway.desk.may_answer.set()
            began = read_clock()
            await wait_until(lambda: gateway.desk.begun > 0)
            keeper = gateway.duties._lease
            await wait_until(lambda: keeper.lease.in_flight == 0)
            worked = keeper.lease.last_effect
            assert began + seconds <= worked <= read_clock() + seconds

        play(story)

    def test_rest_is_longer_than_the_bound_on_turns(self) -> None:
        """Guards against leaders A, B, A at the end of A's rest."""

        async def story(gateway: Gateway) -> None:
            policy = gateway.duties._lease.lease.policy
            clocks_apart = 1.02
            assert policy.handback_delay > BOUNDS.lease_seconds * clocks_apart
            assert policy.duration - policy.margin >= BOUNDS.lease_seconds

        play(story)
