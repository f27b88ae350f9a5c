"""Steps of the controller scenarios."""

import json
import signal
import time
from http.client import HTTPConnection
from typing import Any

from behave import given, then, when

from bench.system import LocalSystem

TIMEOUT_SECONDS = 60.0


@given(
    "a system of {gateways:d} gateways and {engines:d} engines "
    "with {controllers:d} controllers"
)
def start_system(
    context: Any, gateways: int, engines: int, controllers: int
) -> None:
    context.system = LocalSystem(gateways, engines, 1, controllers=controllers)
    context.system.start()


def read_engine_state(system: LocalSystem, name: str) -> dict[str, Any]:
    address = system.addresses[name]
    connection = HTTPConnection(address.host, address.port, timeout=5.0)
    connection.request("GET", "/v1/state")
    state: dict[str, Any] = json.load(connection.getresponse())
    connection.close()
    return state


def wait_loaded(system: LocalSystem, name: str, version: str) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if version in read_engine_state(system, name)["versions"]:
            return
        time.sleep(0.2)
    raise AssertionError(f"{name} has not loaded {version}")


@then("every engine has loaded {version}")
def check_all(context: Any, version: str) -> None:
    for name in context.system.engines:
        wait_loaded(context.system, name, version)


@when("process {name} is killed")
def kill(context: Any, name: str) -> None:
    process = context.system.processes[name]
    process.send(signal.SIGKILL)
    process.wait(TIMEOUT_SECONDS)


@when("process {name} is started again")
def start_again(context: Any, name: str) -> None:
    context.system.processes[name].start()


@when("version {version} is declared for {name}")
def declare(context: Any, version: str, name: str) -> None:
    system = context.system
    path = system.write_file(
        "2.yaml",
        "ticket: 2\nreason: another version\n"
        f"versions:\n  assistant/{version}: {{share: 0.0}}\n"
        "runners:\n"
        f"  {name}:\n"
        f"    endpoint: {system.addresses[name]}\n"
        "    service: assistant\n"
        f"    version: {version}\n"
        f"    host: host-{name}\n"
        "    failure_domain: domain-a\n",
    )
    system.apply_ticket(path)


@then("{name} has loaded {version}")
def check_loaded(context: Any, name: str, version: str) -> None:
    wait_loaded(context.system, name, version)
