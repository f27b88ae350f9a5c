"""Stops the processes of each scenario when it ends."""

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    context.system = None


def after_scenario(context: Any, scenario: Any) -> None:
    if context.system is not None:
        context.system.stop()
