"""How the forwarding gateway's process starts."""

import subprocess
import sys
from pathlib import Path

START = """
import os, runpy, signal, sys, types

def serve():
    os.kill(os.getpid(), signal.SIGHUP)
    print("runs on")

command = types.ModuleType("lagoonpost.cli.serve")
command.serve = serve
sys.modules[command.__name__] = command
runpy.run_module("lagoonpost.serve", run_name="__main__")
"""


class TestStart:
    def test_changed_settings_do_not_end_a_process_that_starts(self):
        """A gateway stays down that was told of new settings at its start."""
        result = subprocess.run(
            [sys.executable, "-c", START],
            cwd=Path(__file__).parent.parent,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.stdout == "runs on\n", result.stderr
