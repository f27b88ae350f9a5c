"""Work of the leader: usage reports and runner orders, over stand-ins."""

import asyncio
import time

from forwarding_stack import (
    Stack,
    find_holders,
    make_configuration,
    make_prompt,
    play,
    wait_until,
)

from lagoonpost.platform.cloud import CloudClient, Duty

BOUNDS = {"report_window_s": 1, "usage_late_s": 10, "lease_ms": 500}
SCALED = {
    "name": "chat",
    "engine": {"slots": 8},
    "scaling": {
        "min": 1,
        "max": 3,
        "boot_s": 1.0,
        "spot_price": 0.2,
        "zone_prices": {"domain-a": 0.85, "domain-b": 1.2, "domain-c": 1.0},
    },
}


class TestUsage:
    def test_what_began_is_reported_once_for_all_gateways(self):
        async def story(stack: Stack):
            await wait_until(lambda: len(find_holders(stack)) == 1)
            for number in range(12):
                await stack.call("/check/1", gateway=number % 3)
                await stack.call("/open/1", key=None, gateway=number % 3)
            await stack.call("/draft/1", "POST", headers=make_prompt())
            count = lambda: sum(  # noqa: E731
                counts.get("pottery", 0)
                for counts in stack.cloud.usage.values()
            )
            await wait_until(lambda: count() == 13)
            return stack.cloud.conflicts

        conflicts = play(
            story, gateways=3, bounds=BOUNDS, duties=("usage_report",)
        )
        assert conflicts == []

    def test_a_second_holder_repeats_the_first_ones_report(self):
        """A second leader must not report a window with other counts.

        The first leader dies after its call and before it publishes the
        fact, and the second has received other counts by then. Reporting
        these would be a second, different bill.
        """

        async def story(stack: Stack):
            stack.cloud.drop_responses = True
            await wait_until(lambda: bool(find_holders(stack)))
            (first,) = find_holders(stack)
            other = (first + 1) % 2
            await stack.call("/check/1", gateway=other)
            window = int(time.time())
            await wait_until(lambda: window in stack.cloud.usage)
            await stack.gateways[first].abort()
            stack.cloud.drop_responses = False
            await wait_until(lambda: find_holders(stack) == [other])
            calls = len(stack.cloud.calls)
            await wait_until(lambda: len(stack.cloud.calls) > calls + 1)
            return stack.cloud

        cloud = play(
            story, gateways=2, bounds=BOUNDS, duties=("usage_report",)
        )
        assert cloud.conflicts == []
        holders = {(holder, fence) for _, holder, fence, _ in cloud.calls}
        assert len({fence for _, fence in holders}) == len(holders)

    def test_a_holder_after_a_return_repeats_what_the_store_lost(self):
        """Guards against billing a window twice with different counts."""

        async def story(stack: Stack):
            await wait_until(lambda: bool(find_holders(stack)))
            (first,) = find_holders(stack)
            other = (first + 1) % 2
            await stack.call("/check/1", gateway=other)
            window = int(time.time())
            await wait_until(lambda: window in stack.cloud.usage)
            await stack.gateways[first].abort()
            # A count that arrived only after the report was made.
            stack.gateways[other]._usage.begun[window]["pottery"] = 7
            await stack.store.roll_back(60.0)
            await wait_until(lambda: find_holders(stack) == [other])
            again = stack.gateways[other]._duties._reported
            await wait_until(lambda: window in again)
            return stack.cloud

        cloud = play(
            story, gateways=2, bounds=BOUNDS, duties=("usage_report",)
        )
        assert cloud.conflicts == []
        holders = {(holder, fence) for _, holder, fence, _ in cloud.calls}
        assert len({fence for _, fence in holders}) == len(holders)

    def test_a_window_that_nobody_remembers_is_not_counted_again(self):
        """Guards against two counts after a kill of all and an older copy."""

        async def story(stack: Stack):
            await wait_until(lambda: bool(find_holders(stack)))
            await stack.call("/check/1")
            window = int(time.time())
            await wait_until(lambda: window in stack.cloud.usage)
            for daemon in stack.gateways:
                await daemon.abort()
            await stack.store.roll_back(60.0)
            daemon = await stack.add_gateway()
            await wait_until(daemon._duties.is_held)
            await wait_until(lambda: window in daemon._duties._reported)
            return stack.cloud

        cloud = play(
            story, gateways=2, bounds=BOUNDS, duties=("usage_report",)
        )
        assert cloud.conflicts == []

    def test_a_holder_that_loses_the_store_stops(self):
        async def story(stack: Stack):
            await wait_until(lambda: bool(find_holders(stack)))
            stack.store.outage = "reset"
            await wait_until(lambda: not find_holders(stack))
            calls = len(stack.cloud.calls)
            await asyncio.sleep(1.5)
            return len(stack.cloud.calls) - calls

        more = play(story, gateways=1, bounds=BOUNDS, duties=("usage_report",))
        assert more == 0


class TestCalls:
    def test_a_call_that_may_not_be_sent_is_not(self):
        """Guards against a call that is sent after the lease has expired."""

        async def story(stack: Stack):
            calls = CloudClient(stack.client, stack.cloud_address)
            answers = [
                await calls.report_usage(
                    Duty("gateway-1", 1, lambda may=may: may), 7, {}
                )
                for may in (False, True)
            ]
            return answers, len(stack.cloud.calls)

        answers, count = play(story)
        assert answers == ["refused", "done"]
        assert count == 1


class TestOrders:
    def configuration(self):
        return make_configuration(
            services=[SCALED, {"name": "desk", "health_path": "/health"}]
        )

    def test_reclaimable_runners_are_ordered_in_each_domain(self):
        async def story(stack: Stack):
            await wait_until(lambda: len(stack.cloud.orders) >= 3)
            return {
                key: count
                for key, count in stack.cloud.orders.items()
                if key[2]
            }

        orders = play(
            story,
            configuration=self.configuration(),
            bounds=BOUNDS,
            duties=("autoscale",),
        )
        domains = {domain for _, domain, _ in orders}
        assert domains == {"domain-a", "domain-b", "domain-c"}
        assert {service for service, _, _ in orders} == {"chat"}

    def test_a_drought_is_answered_at_full_price(self):
        """On-demand runners must replace reclaimable ones that are sold out.

        All reclaimable runners leave and no new ones are available. Waiting
        for them would leave only the base runners for the whole drought.
        """

        async def story(stack: Stack):
            stack.cloud.spot_exhausted = True
            for id_ in ("chat-1", "chat-2"):
                await stack.register(id_, spot=True, state="draining")
            full = lambda: sum(  # noqa: E731
                count
                for key, count in stack.cloud.orders.items()
                if not key[2]
            )
            await wait_until(lambda: full() >= 3)

        play(
            story,
            configuration=self.configuration(),
            bounds=BOUNDS,
            duties=("autoscale",),
        )
