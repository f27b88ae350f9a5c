"""Watches the settings file for changes and the host for suspensions."""

import os
import time
from collections.abc import Callable

import eliot

from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.settings import (
    HostSettings,
    SettingsError,
    read_host_settings,
)
from lagoonpost.store.clock import read_clock

SETTINGS_POLL_SECONDS = 1.0
"""Pause between checks of the settings file. A change must be in force within
two seconds, with or without a signal."""
MIN_SUSPENSION_SECONDS = 0.3
"""Shortest suspension that may have caused missed updates. A shorter one is
no longer than the delivery of a report takes anyway."""
CLOCK_POLL_SECONDS = 0.25
"""Pause between comparisons of the clocks."""


def read_modification_time(path: str) -> float:
    """Return the file's modification time, or 0 if it is not accessible."""
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


class SettingsWatcher:
    """Reloads the settings file when it changes.

    Args:
        path: Path of the settings file.
        on_change: Called with the new settings if they differ from the
            previous ones.

    Attributes:
        settings: The current settings.

    Raises:
        SettingsError: If the file is invalid at the start.
    """

    def __init__(
        self, path: str, on_change: Callable[[HostSettings], None]
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._read_at = read_modification_time(path)
        self.settings = read_host_settings(path)

    def reload(self) -> None:
        """Reload the file.

        An invalid file is logged and otherwise ignored: it may have been read
        in the middle of a write, and a gateway that exited because of it
        would cut off its callers.
        """
        self._read_at = read_modification_time(self._path)
        try:
            settings = read_host_settings(self._path)
        except SettingsError as error:
            eliot.log_message(
                message_type="lagoonpost:forwarding:not_reloaded",
                detail=str(error),
            )
            return
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(self.settings, name)
        ]
        self.settings = settings
        eliot.log_message(
            message_type="lagoonpost:forwarding:reloaded", changed=changed
        )
        if changed:
            self._on_change(settings)

    async def run(self) -> None:
        """Poll for changes that no signal announces, until cancelled."""
        while True:
            await sleep_aligned(SETTINGS_POLL_SECONDS)
            if read_modification_time(self._path) != self._read_at:
                self.reload()


async def watch_for_suspension(on_resume: Callable[[], None]) -> None:
    """Detect suspensions of this host, until cancelled.

    During a suspension, updates are missed and connections may die without a
    reset. It is detected by comparing a clock that advances during
    suspension with one that does not.

    Args:
        on_resume: Called after a suspension.
    """
    offset = read_clock() - time.monotonic()
    while True:
        await sleep_aligned(CLOCK_POLL_SECONDS)
        previous, offset = offset, read_clock() - time.monotonic()
        if offset - previous > MIN_SUSPENSION_SECONDS:
            eliot.log_message(
                message_type="lagoonpost:forwarding:thawed",
                seconds=round(offset - previous, 3),
            )
            on_resume()
