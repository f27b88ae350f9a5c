"""Starts a complete local system on loopback, one process per component.

The demo, the feature scenarios and the benchmarks share it.
"""

import fcntl
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from http.client import HTTPConnection
from pathlib import Path
from typing import IO

import psutil

from lagoonpost.gateway.access import digest_key
from lagoonpost.http.message import Address

OPERATOR_KEY = "operator-key"
DOMAINS = ("domain-a", "domain-b", "domain-c")
START_SECONDS = 30.0
PORTS = (15000, 32000)
_reserved_ports: set[int] = set()
_port_locks: dict[int, IO[str]] = {}


def _lock_port(port: int) -> bool:
    """Lock a port against other systems on this host until the process ends.

    Without the lock, two systems that start concurrently may pick the same
    port: both find it free, and the second one to listen fails to start.

    Args:
        port: TCP port number.

    Returns:
        Whether the lock was acquired.
    """
    path = Path(tempfile.gettempdir()) / f"lagoonpost-port-{port}"
    file = path.open("w")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    _port_locks[port] = file
    return True


def find_port() -> int:
    """Reserve a TCP port that is currently free on loopback.

    The port lies below the kernel's ephemeral range: the kernel may assign
    a port of that range to an outgoing connection before the caller listens
    on it.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if port in _reserved_ports or not _lock_port(port):
            continue
        _reserved_ports.add(port)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def find_port_pair() -> int:
    """Reserve two ports in a row and return the first one."""
    while True:
        port = find_port()
        following = port + 1
        if following not in _reserved_ports and _lock_port(following):
            with socket.socket() as probe, suppress(OSError):
                probe.bind(("127.0.0.1", following))
                _reserved_ports.add(following)
                return port
        release_port(port)


def release_port(port: int) -> None:
    """Release a port from ``find_port`` that is no longer used."""
    _reserved_ports.discard(port)
    _port_locks.pop(port).close()


def release_port_pair(port: int) -> None:
    """Release the ports from ``find_port_pair``."""
    release_port(port)
    release_port(port + 1)


class Process:
    """A child process that runs a Python module.

    Args:
        name: Name of the process.
        arguments: Module name and its arguments.
        log: File that receives standard output and standard error.
        environment: Further environment variables.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        log: Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._environment = environment or {}
        self._arguments = arguments
        self.log = log
        self._output: IO[bytes] | None = None
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the most recent start."""
        assert self._popen is not None
        return self._popen.pid

    def start(self) -> None:
        """Start the process, or restart it with the same arguments."""
        self._output = self.log.open("ab")
        environment = {
            **os.environ,
            "LAGOONPOST_SIGNING_KEY": "not-a-secret-for-trying-out",
            **self._environment,
        }
        self._popen = subprocess.Popen(
            [sys.executable, "-m", *self._arguments],
            stdout=self._output,
            stderr=subprocess.STDOUT,
            env=environment,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def wait(self, timeout: float) -> int:
        """Wait up to ``timeout`` seconds and return the exit status."""
        assert self._popen is not None
        return self._popen.wait(timeout)

    def freeze(self) -> None:
        """Send SIGSTOP and wait until the process is stopped."""
        self.send(signal.SIGSTOP)
        while not self.is_frozen():
            time.sleep(0.01)

    def is_frozen(self) -> bool:
        """Return whether the process is stopped or has exited."""
        status = psutil.Process(self.pid).status()
        return status in (psutil.STATUS_STOPPED, psutil.STATUS_ZOMBIE)

    def is_running(self) -> bool:
        """Return whether the process has been started and not exited."""
        return self._popen is not None and self._popen.poll() is None

    def stop(self) -> None:
        """Kill the process if it is running and close its log."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()
        if self._output is not None:
            self._output.close()


class LocalSystem:
    """A platform, engines, booking runners, gateways and controllers.

    Args:
        gateways: Number of gateways.
        engines: Number of engines.
        services: Number of booking runners.
        engine_options: Additional arguments of the engine stand-ins.
        slots: Declared number of concurrent requests of each runner.
        controllers: Number of controllers.
        environment: Further environment variables of the gateways.
    """

    def __init__(
        self,
        gateways: int = 3,
        engines: int = 3,
        services: int = 2,
        engine_options: tuple[str, ...] = (),
        slots: int = 8,
        controllers: int = 0,
        environment: dict[str, str] | None = None,
    ) -> None:
        self._slots = slots
        self._environment = environment
        self._folder = tempfile.TemporaryDirectory(prefix="lagoonpost-")
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, Address] = {}
        self.engines = [f"engine-{n + 1}" for n in range(engines)]
        self.services = [f"booking-{n + 1}" for n in range(services)]
        self.gateways = [f"gateway-{n + 1}" for n in range(gateways)]
        self.controllers = [f"controller-{n + 1}" for n in range(controllers)]
        names = ["platform", *self.engines, *self.services, *self.gateways]
        for name in names:
            self.addresses[name] = Address("127.0.0.1", find_port())
        self._peers = {
            name: Address("127.0.0.1", find_port()) for name in self.gateways
        }
        self._add_standin("platform", "platform")
        for name in self.engines:
            self._add_standin(name, "engine", "--name", name, *engine_options)
        for name in self.services:
            self._add_standin(name, "service", "--name", name)
        for number, name in enumerate(self.gateways):
            self._add_gateway(name, DOMAINS[number % len(DOMAINS)])
        for number, name in enumerate(self.controllers):
            self._add_controller(name, DOMAINS[number % len(DOMAINS)])

    def start(self) -> None:
        """Start all processes, apply a first ticket, wait until ready."""
        for process in self.processes.values():
            process.start()
        for name in self.addresses:
            self.wait_listening(name)
        self._apply_ticket()

    def stop(self) -> None:
        """Stop all processes and remove their logs."""
        for process in self.processes.values():
            process.stop()
        self._folder.cleanup()

    def wait_listening(self, name: str) -> None:
        """Wait until a process accepts connections.

        Raises:
            RuntimeError: It does not listen within ``START_SECONDS``.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            try:
                socket.create_connection(self.addresses[name], 1.0).close()
            except OSError:
                time.sleep(0.05)
            else:
                return
        log = self.processes[name].log.read_text()
        raise RuntimeError(f"{name} does not listen:\n{log[-2000:]}")

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a ``lagoonpost`` command as the operator and the demo caller."""
        environment = {
            **os.environ,
            "LAGOONPOST_OPERATOR_KEY": OPERATOR_KEY,
            "LAGOONPOST_KEY": "demo-key",
            "LAGOONPOST_ENTRY": str(self.addresses[self.gateways[0]]),
        }
        return subprocess.run(
            [sys.executable, "-m", "lagoonpost", *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=START_SECONDS,
            check=False,
        )

    def _add_standin(self, name: str, kind: str, *options: str) -> None:
        arguments = ["lagoonpost_standins", kind]
        arguments += ["--listen", str(self.addresses[name]), *options]
        self._add_process(name, arguments)

    def _add_gateway(self, name: str, domain: str) -> None:
        arguments = ["lagoonpost", "gateway", "--name", name]
        arguments += ["--listen", str(self.addresses[name])]
        arguments += ["--peer-listen", str(self._peers[name])]
        arguments += ["--platform", str(self.addresses["platform"])]
        arguments += ["--failure-domain", domain, "--host", f"host-{name}"]
        arguments += ["--operator-digest", digest_key(OPERATOR_KEY)]
        for other in self.gateways[:3]:
            if other != name:
                arguments += ["--seed-peer", str(self._peers[other])]
        self._add_process(name, arguments, self._environment)

    def _add_controller(self, name: str, domain: str) -> None:
        arguments = ["lagoonpost", "controller", "--name", name]
        arguments += ["--platform", str(self.addresses["platform"])]
        arguments += ["--failure-domain", domain]
        for seed in self._peers.values():
            arguments += ["--seed-peer", str(seed)]
        self._add_process(name, arguments)

    def _add_process(
        self,
        name: str,
        arguments: list[str],
        environment: dict[str, str] | None = None,
    ) -> None:
        log = Path(self._folder.name) / f"{name}.log"
        self.processes[name] = Process(name, arguments, log, environment)

    def _apply_ticket(self) -> None:
        path = self.write_file("1.yaml", self.write_ticket(1))
        self.apply_ticket(path)

    def apply_ticket(self, path: Path) -> None:
        """Submit a change ticket and wait until running gateways are ready.

        Frozen gateways are skipped.

        Raises:
            RuntimeError: The command line reports a failure.
        """
        entries = []
        for name in self.gateways:
            if not self.processes[name].is_frozen():
                entries += ["--entry", str(self.addresses[name])]
        done = self.run_cli("ticket", *entries, "apply", str(path))
        if done.returncode:
            raise RuntimeError(f"ticket: {done.stdout}{done.stderr}")
        self.wait_ready()

    def write_file(self, name: str, text: str) -> Path:
        """Write a file to the system's temporary folder; return its path."""
        path = Path(self._folder.name) / name
        path.write_text(text)
        return path

    def wait_ready(self) -> None:
        """Wait until every gateway that is not frozen reports ready."""
        for name in self.gateways:
            if not self.processes[name].is_frozen():
                self._wait_gateway(name)

    def _wait_gateway(self, name: str) -> None:
        host, port = self.addresses[name]
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            connection = HTTPConnection(host, port, timeout=2.0)
            try:
                connection.request("GET", "/readyz")
                answer = connection.getresponse()
                if answer.status == 200 and json.load(answer)["revision"]:
                    return
            except OSError:
                pass
            finally:
                connection.close()
            time.sleep(0.05)
        raise RuntimeError(f"{name} is not ready")

    def write_ticket(self, number: int) -> str:
        """Return the example ticket for this system's runners."""
        example = Path(__file__).parent.parent / "examples" / "tickets"
        text = (example / "1-start.yaml").read_text()
        head = text[: text.index("runners:")]
        head = head.replace("ticket: 1", f"ticket: {number}")
        lines = ["runners:"]
        members = [(name, "assistant") for name in self.engines]
        members += [(name, "booking") for name in self.services]
        for index, (name, service) in enumerate(members):
            lines += [
                f"  {name}:",
                f"    endpoint: {self.addresses[name]}",
                f"    service: {service}",
                "    version: v1",
                f"    slots: {self._slots}",
                f"    host: host-{name}",
                f"    failure_domain: {DOMAINS[index % len(DOMAINS)]}",
            ]
        return head + "\n".join(lines) + "\n"
