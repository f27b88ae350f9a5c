"""Tests of lagoonpost.gateway.tickets through the command line."""

import asyncio
import json
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from memory_store import MemoryStore

from lagoonpost.cli.option import ExitCode
from lagoonpost.cli.ticket import ticket
from lagoonpost.gateway.tickets import TicketHandlers
from lagoonpost.http.message import Address, Request
from lagoonpost.http.responder import Responder
from lagoonpost.http.server import Server
from lagoonpost.store.ticket import WROTE_NOTHING, RetryPolicy, TicketStore
from lagoonpost.store.watch import DeclarationWatch

START = Path(__file__).parent.parent / "examples/tickets/1-start.yaml"


class Gateway:
    """Ticket handlers behind a server."""

    def __init__(self, store: MemoryStore) -> None:
        self.watch = DeclarationWatch(store, lambda _: None)
        intake = TicketStore(store, RetryPolicy(2, 0.0))
        self.handlers = TicketHandlers(intake, self.watch, lambda _: None)
        self.server = Server(self._handle)

    async def _handle(self, request: Request, responder: Responder) -> None:
        await responder.send(await self.handlers.handle(request, "ann"))


class Site:
    """Gateways in a thread of their own, because commands block this one."""

    def __init__(self, count: int) -> None:
        self.store = MemoryStore()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.gateways = [Gateway(self.store) for _ in range(count)]
        self.entries = [self._start(gateway) for gateway in self.gateways]

    def _start(self, gateway: Gateway) -> Address:
        start = gateway.server.start(Address("127.0.0.1", 0))
        return asyncio.run_coroutine_threadsafe(start, self.loop).result(10)

    def poll(self) -> None:
        for gateway in self.gateways:
            poll = gateway.watch.poll()
            asyncio.run_coroutine_threadsafe(poll, self.loop).result(10)

    def close(self) -> None:
        for gateway in self.gateways:
            close = gateway.server.close(0.0)
            asyncio.run_coroutine_threadsafe(close, self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def invoke(self, *arguments: str) -> Result:
        entries = [f"--entry={entry}" for entry in self.entries]
        return CliRunner(env={"LAGOONPOST_OPERATOR_KEY": "k"}).invoke(
            ticket, [*entries, "--json", *arguments]
        )


@pytest.fixture
def site() -> Iterator[Site]:
    site = Site(2)
    site.poll()
    yield site
    site.close()


class TestCommand:
    def test_apply_counts_the_gateways_in_force(self, site: Site) -> None:
        first = site.invoke("apply", "--wait=0", str(START))
        assert first.exit_code == ExitCode.NOT_IN_FORCE
        assert json.loads(first.stdout)["in_force"] == 1
        site.poll()
        again = site.invoke("apply", "--wait=0", str(START))
        assert again.exit_code == ExitCode.OK
        assert json.loads(again.stdout)["in_force"] == 2

    def test_plan_then_refused_as_taken(
        self, site: Site, tmp_path: Path
    ) -> None:
        site.invoke("apply", "--wait=0", str(START))
        site.poll()
        other = tmp_path / "other.yaml"
        text = START.read_text().replace("first: 1.9", "first: 2.9")
        other.write_text(text.replace("ticket: 1", "ticket: 2"))
        planned = json.loads(site.invoke("plan", str(other)).stdout)
        assert [change["key"] for change in planned["changes"]] == [
            "service/assistant"
        ]
        other.write_text(text)
        refused = site.invoke("apply", str(other))
        assert refused.exit_code == ExitCode.REFUSED
        assert json.loads(refused.stdout)["title"] == "number_taken"

    def test_deadline_too_near_is_said_at_once(
        self, site: Site, tmp_path: Path
    ) -> None:
        """Guards against silence about a move's deadline in the past.

        The command warns before it submits the ticket, and the gateway warns
        in its response.
        """
        site.invoke("apply", "--wait=0", str(START))
        late = tmp_path / "late.yaml"
        text = (START.parent / "2-move.yaml").read_text()
        late.write_text(text.replace("2027-01-31", "2026-01-31"))
        result = site.invoke("apply", "--wait=0", str(late))
        assert "moves.booking.by: too near" in result.stderr
        (warning,) = json.loads(result.stdout)["warnings"]
        assert warning.startswith("moves.booking.by: too near")

    def test_status_and_history(self, site: Site) -> None:
        assert site.invoke("status", "1").exit_code == ExitCode.NOT_FOUND
        site.invoke("apply", "--wait=0", str(START))
        assert json.loads(site.invoke("status", "1").stdout)["in_force"] == 1
        tickets = json.loads(site.invoke("history").stdout)["tickets"]
        assert [record["number"] for record in tickets] == [1]

    @pytest.mark.parametrize(
        ("fault", "wrote_nothing"), [("down", True), ("late", False)]
    )
    def test_store_failures_are_told_apart(
        self, site: Site, fault: str, wrote_nothing: bool
    ) -> None:
        site.store.fault = lambda call: fault if call == "transact" else ""
        result = site.invoke("apply", str(START))
        assert result.exit_code == ExitCode.UNKNOWN
        detail = json.loads(result.stdout)["detail"]
        assert (WROTE_NOTHING in detail) == wrote_nothing

    def test_an_earlier_command_may_have_written(self, site: Site) -> None:
        """Guards against "not run" for a ticket that may still take effect."""
        site.store.fault = lambda call: "late" if call == "transact" else ""
        assert site.invoke("apply", str(START)).exit_code == ExitCode.UNKNOWN
        site.entries = [Address("127.0.0.1", 1)]
        assert site.invoke("apply", str(START)).exit_code == ExitCode.UNKNOWN
        assert site.invoke("status", "1").exit_code == ExitCode.NOT_RUN

    def test_unknown_at_one_gateway_stays_unknown(self, site: Site) -> None:
        """Guards against "not run" for a ticket that may take effect.

        The write of the first gateway hangs and may succeed. The second
        gateway finds the store down and writes nothing. After "not run" the
        operator would wrongly regard the change as dropped.
        """
        plan = iter(["late", "down", "down", "down"])
        site.store.fault = lambda call: (
            next(plan) if call == "transact" else ""
        )
        assert site.invoke("apply", str(START)).exit_code == ExitCode.UNKNOWN

    def test_faulty_file_is_not_sent(self, site: Site, tmp_path: Path) -> None:
        faulty = tmp_path / "faulty.yaml"
        faulty.write_text("ticket: 1\n")
        result = site.invoke("apply", str(faulty))
        assert result.exit_code == ExitCode.FAILED
        assert not site.store.rows

    def test_faulty_request_is_refused_by_the_gateway(
        self, site: Site
    ) -> None:
        request = Request("POST", "/v1/tickets", "", (), b'{"ticket": 0}', "")
        handlers = site.gateways[0].handlers
        response = asyncio.run(handlers.submit(request, "ann"))
        assert response.status == 422
        assert b'"ticket"' in response.body
