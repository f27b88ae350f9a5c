"""Tests of the start of the forwarding gateway's process."""

import asyncio
import os
import socket
import subprocess
import sys
from pathlib import Path

from bench.system import find_port
from lagoonpost.http.client import Client
from lagoonpost.http.listener import open_listener
from lagoonpost.http.message import Address, Request, Response
from lagoonpost.http.responder import Responder
from lagoonpost.http.server import Server
from lagoonpost_standins.deployment import GatewayAddresses, make_settings

START = """
import os, runpy, signal, sys, types

def serve(obj):
    os.kill(os.getpid(), signal.SIGHUP)
    print("runs on")

command = types.ModuleType("lagoonpost.cli.serve")
command.serve = serve
sys.modules[command.__name__] = command
runpy.run_module("lagoonpost.serve", run_name="__main__")
"""


LISTEN = """
import runpy, socket, sys, types

def serve(obj):
    for address in obj:
        socket.create_connection(address, 5.0).close()
    print(len(obj), "taken")

command = types.ModuleType("lagoonpost.cli.serve")
command.serve = serve
sys.modules[command.__name__] = command
runpy.run_module("lagoonpost.serve", run_name="__main__")
"""


def write_settings(folder: Path) -> tuple[Path, list[int]]:
    """Write a settings file; return its path and the ports in it."""
    ports = [find_port() for _ in range(4)]
    addresses = [Address("127.0.0.1", port) for port in ports]
    nowhere = Address("127.0.0.1", 9)
    path = folder / "gateway.toml"
    path.write_text(
        make_settings(1, GatewayAddresses(*addresses), nowhere, nowhere)
    )
    return path, ports


def run_start(script: str, config: Path | str) -> str:
    """Run a script that starts the process and return its output."""
    result = subprocess.run(
        [sys.executable, "-c", script],
        cwd=Path(__file__).parent.parent,
        env={**os.environ, "LAGOONPOST_CONFIG": str(config)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert not result.stderr
    return result.stdout


class TestListenEarly:
    def test_callers_are_taken_before_the_gateway_is_loaded(self, tmp_path):
        """Otherwise connections would be refused during the imports."""
        path, _ = write_settings(tmp_path)
        assert run_start(LISTEN, path) == "2 taken\n"

    def test_a_port_that_is_taken_is_left_to_the_gateway(self, tmp_path):
        path, ports = write_settings(tmp_path)
        with socket.create_server(("127.0.0.1", ports[0])):
            assert run_start(LISTEN, path) == "1 taken\n"

    def test_settings_that_can_not_be_read_are_left_to_the_gateway(self):
        assert run_start(LISTEN, "/nowhere.toml") == "0 taken\n"

    def test_what_listens_already_is_served(self):
        async def scenario() -> bytes:
            address = Address("127.0.0.1", find_port())
            listener = open_listener(address)
            waiting = asyncio.create_task(
                Client().call(address, "GET", "/early", timeout=10.0)
            )
            await asyncio.sleep(0.1)
            server = Server(answer)
            assert await server.start(address, listener) == address
            response = await waiting
            await server.close(0.0)
            return response.body

        async def answer(request: Request, responder: Responder) -> None:
            await responder.send(Response(200, (), request.path.encode()))

        assert asyncio.run(scenario()) == b"/early"


class TestStart:
    def test_changed_settings_do_not_end_a_process_that_starts(self):
        """SIGHUP during the start would otherwise terminate the gateway."""
        result = subprocess.run(
            [sys.executable, "-c", START],
            cwd=Path(__file__).parent.parent,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.stdout == "runs on\n", result.stderr
