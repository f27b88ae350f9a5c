"""What reports tell of demand, and what requests over their share get."""

import asyncio

import pytest
from forwarding_stack import wait_until
from test_reports import COUNT, Crowd

from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.http.message import Request
from lagoonpost.platform.headers import parse_request_headers
from lagoonpost.systems.hub import choose_roles
from lagoonpost.tables.configuration import Service, Workspace
from lagoonpost.tables.gateway_report import GatewayReport
from lagoonpost.tables.urgency import MAX_URGENCY


class TestFindPeerDemand:
    def test_everyone_knows_what_the_others_are_asked_for(self):
        """Guards against own requests that count twice in a hub's sums."""

        async def story() -> None:
            crowd = Crowd()
            for number, delegate in enumerate(crowd.delegates):
                _add_demand(delegate, {"chat": {"w": 1.0 + number}})
            async with crowd:
                total = sum(range(1, COUNT + 1))
                for number, each in enumerate(crowd.reports):
                    wanted = {"chat": {"w": total - number - 1.0}}
                    await wait_until(
                        lambda e=each, w=wanted: e.find_peer_demand() == w
                    )

        asyncio.run(story())

    def test_a_gateway_that_is_cut_off_knows_no_demand(self):
        """Guards against one gateway's demand taken for that of all."""

        async def story() -> None:
            crowd = Crowd()
            await crowd.reports[0].start()
            assert (
                crowd.members[0].name in choose_roles(crowd.members, ()).hubs
            )
            assert crowd.reports[0].find_peer_demand() is None
            crowd.reports[0].close()

        asyncio.run(story())

    def test_a_lone_gateway_knows_that_there_is_no_other_demand(self):
        async def story() -> None:
            crowd = Crowd()
            del crowd.members[1:]
            await crowd.reports[0].start()
            assert crowd.reports[0].find_peer_demand() == {}
            crowd.reports[0].close()

        asyncio.run(story())


def _add_demand(delegate, demand) -> None:
    make = delegate.make_report

    def make_with_demand(name: str, run: str) -> GatewayReport:
        return make(name, run)._replace(demand=demand)

    delegate.make_report = make_with_demand


class TestUrgency:
    @pytest.mark.parametrize("priority", [0, 3, MAX_URGENCY])
    def test_a_request_over_its_share_is_less_urgent(self, priority):
        request = Request("GET", "/", "", (), b"", "")
        arrival = parse_request_headers(request.headers)
        exchange = Exchange(request, arrival, lambda: 0.0)
        exchange.workspace = Workspace("w", (), priority)
        exchange.set_service("chat", Service("chat", engine=True))
        assert exchange.urgency == priority
        exchange.over_share = True
        assert exchange.urgency == min(MAX_URGENCY, priority + 1)
