"""Tests of lagoonpost.http."""

import asyncio

from lagoonpost.http.client import Client
from lagoonpost.http.message import (
    Address,
    Request,
    Response,
    parse_address,
)
from lagoonpost.http.server import Limits, Responder, Server

LOOPBACK = Address("127.0.0.1", 0)


async def _echo(request: Request, responder: Responder) -> None:
    await responder.send(Response(200, (), request.body))


class TestServer:
    def test_echoes_two_calls_on_one_connection(self) -> None:
        async def play() -> list[bytes]:
            server = Server(_echo)
            address = await server.start(LOOPBACK)
            client = Client()
            bodies = []
            for body in (b"one", b"two"):
                answer = await client.call(
                    address, "POST", "/", body, timeout=5
                )
                bodies.append(answer.body)
            client.close()
            await server.close(1.0)
            return bodies

        assert asyncio.run(play()) == [b"one", b"two"]

    def test_refuses_oversized_body_as_not_run(self) -> None:
        async def play() -> Response:
            server = Server(_echo, Limits(body=10))
            address = await server.start(LOOPBACK)
            client = Client()
            answer = await client.call(
                address, "POST", "/", b"x" * 11, timeout=5
            )
            client.close()
            await server.close(1.0)
            return answer

        answer = asyncio.run(play())
        assert answer.status == 413
        assert b'"not_run"' in answer.body


class TestAddress:
    def test_parses_host_and_port(self) -> None:
        assert parse_address("127.0.0.1:80") == Address("127.0.0.1", 80)
