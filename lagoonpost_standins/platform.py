"""Stand-in for the platform: table, objects, hosts and reclaim notices."""

import asyncio
from collections import Counter
from typing import Any, TypedDict
from urllib.parse import parse_qs

import msgspec

from lagoonpost.http.message import Request, Response, make_json_response
from lagoonpost.http.responder import Responder
from lagoonpost.store.store import Condition, Conflict, Row, Write
from lagoonpost_standins.cloud import Cloud
from lagoonpost_standins.table import Table

NO_ROUTE = make_json_response(404, {"detail": "unknown path"})


class PlatformFaults(TypedDict, total=False):
    """Injected faults; setting faults replaces all previous ones.

    Attributes:
        down: Close each connection without handling the request.
        slow: Seconds to wait before each operation.
        lose_replies: Number of writes to apply without a reply.
        drop_requests: Number of requests to drop before they are handled.
        refuse_buy: Refuse to start hosts.
        host_lag: Seconds by which the host list is out of date.
    """

    down: bool
    slow: float
    lose_replies: int
    drop_requests: int
    refuse_buy: bool
    host_lag: float


class _TableRequest(TypedDict, total=False):
    """Body of a request to the table service."""

    conditions: list[dict[str, Any]]
    writes: list[dict[str, Any]]
    keys: list[str]
    prefix: str
    after: str
    limit: int


class Platform:
    """Handles requests to the platform; tests inject faults over HTTP."""

    def __init__(self) -> None:
        self.table = Table()
        self.cloud = Cloud()
        self.faults: PlatformFaults = {}
        self.counts: Counter[str] = Counter()
        self._objects: dict[str, bytes] = {}
        self._areas = {
            "transact": self._transact,
            "read": self._read,
            "scan": self._scan,
            "objects": self._object,
            "hosts": self._host,
            "notices": self._notices,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request; a return without an answer disconnects."""
        if request.path.startswith("/standin/"):
            await responder.send(self._control(request))
            return
        if self.faults.get("down") or self._consume_fault("drop_requests"):
            self.counts["dropped"] += 1
            return
        await asyncio.sleep(self.faults.get("slow", 0.0))
        area = request.path.removeprefix("/v1/").partition("/")[0]
        serve = self._areas.get(area)
        if serve is None:
            await responder.send(NO_ROUTE)
            return
        self.counts[area] += 1
        answer = serve(request)
        if request.method != "GET" and area not in ("read", "scan"):
            self.counts["writes"] += 1
            if self._consume_fault("lose_replies"):
                self.counts["lost_replies"] += 1
                return
        await responder.send(answer)

    def _consume_fault(self, fault: str) -> bool:
        """Decrement a fault's counter; return whether the fault applies."""
        left = int(self.faults.get(fault, 0))  # type: ignore[call-overload]
        if left <= 0:
            return False
        self.faults[fault] = left - 1  # type: ignore[literal-required]
        return True

    def _control(self, request: Request) -> Response:
        if request.path == "/standin/faults":
            self.faults = msgspec.json.decode(
                request.body, type=PlatformFaults
            )
            self.cloud.lag = self.faults.get("host_lag", 0.0)
            return make_json_response(200, self.faults)
        if request.path == "/standin/notices":
            notice = msgspec.json.decode(request.body, type=dict[str, Any])
            self.cloud.notices.append(notice)
            return make_json_response(200, notice)
        if request.path == "/standin/counts":
            return make_json_response(200, dict(self.counts))
        return NO_ROUTE

    def _transact(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=_TableRequest)
        conditions = [Condition(**fields) for fields in call["conditions"]]
        writes = [Write(**fields) for fields in call["writes"]]
        self.counts["written_rows"] += len(writes)
        outcome = self.table.transact(conditions, writes)
        status = 409 if isinstance(outcome, Conflict) else 200
        return _answer_rows(status, outcome.rows)

    def _read(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=_TableRequest)
        self.counts["read_rows"] += len(call["keys"])
        return _answer_rows(200, self.table.read(call["keys"]))

    def _scan(self, request: Request) -> Response:
        call = msgspec.json.decode(request.body, type=_TableRequest)
        rows = self.table.scan(
            call["prefix"], call.get("after", ""), call.get("limit", 1000)
        )
        return _answer_rows(200, rows)

    def _object(self, request: Request) -> Response:
        key = request.path.removeprefix("/v1/objects/")
        if request.method == "PUT":
            self._objects[key] = request.body
            return Response(204)
        if key not in self._objects:
            return make_json_response(404, {"detail": "no such object"})
        content_type = ("content-type", "application/octet-stream")
        return Response(200, (content_type,), self._objects[key])

    def _host(self, request: Request) -> Response:
        if request.method == "POST":
            if self.faults.get("refuse_buy"):
                detail = {"detail": "no capacity in this failure domain"}
                return make_json_response(503, detail)
            order = msgspec.json.decode(request.body, type=dict[str, Any])
            return make_json_response(201, self.cloud.buy(order))
        if request.method == "DELETE":
            found = self.cloud.release(request.path.rpartition("/")[2])
            return Response(204) if found else NO_ROUTE
        return make_json_response(200, {"hosts": self.cloud.list_hosts()})

    def _notices(self, request: Request) -> Response:
        after = int(parse_qs(request.query).get("after", ["0"])[0])
        notices = self.cloud.notices[after:]
        return make_json_response(
            200, {"notices": notices, "next": after + len(notices)}
        )


def _answer_rows(status: int, rows: tuple[Row, ...]) -> Response:
    return make_json_response(
        status, {"rows": [row._asdict() for row in rows]}
    )
