"""Watches what changes around the process: its settings and its host."""

import time
from collections.abc import Callable

import eliot

from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.settings import (
    HostSettings,
    SettingsError,
    read_change_time,
    read_host_settings,
)
from lagoonpost.store.clock import read_clock

SETTINGS_POLL_SECONDS = 1.0
"""Pause between looks at the settings file: it has to be in force within two
seconds, with or without a signal."""
MIN_SUSPENSION_SECONDS = 0.3
"""Suspension from which news may have been missed: shorter ones are as long
as a report's way."""
CLOCK_POLL_SECONDS = 0.25
"""Pause between looks at the clocks."""


class SettingsWatcher:
    """Reads the settings file again when it changed.

    Args:
        path: The file.
        on_change: Told settings that differ from those before.

    Attributes:
        settings: The settings as read last.

    Raises:
        SettingsError: If the file can't be used at the start.
    """

    def __init__(
        self, path: str, on_change: Callable[[HostSettings], None]
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._read_at = read_change_time(path)
        self.settings = read_host_settings(path)

    def reload(self) -> None:
        """Read the file again.

        A file that can't be used changes nothing: it may be read while it
        is written, and a gateway that ended for it would cut callers off.
        """
        self._read_at = read_change_time(self._path)
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
        """Look for changes that no signal tells of, until cancelled."""
        while True:
            await sleep_aligned(SETTINGS_POLL_SECONDS)
            if read_change_time(self._path) != self._read_at:
                self.reload()


async def watch_for_suspension(on_thaw: Callable[[], None]) -> None:
    """Tell when this host stood still, until cancelled.

    What changed meanwhile was not seen, and connections may have gone
    silent. It shows as a clock that counts the time of suspension and runs
    ahead of the one that does not.
    """
    ahead = read_clock() - time.monotonic()
    while True:
        await sleep_aligned(CLOCK_POLL_SECONDS)
        before, ahead = ahead, read_clock() - time.monotonic()
        if ahead - before > MIN_SUSPENSION_SECONDS:
            eliot.log_message(
                message_type="lagoonpost:forwarding:thawed",
                seconds=round(ahead - before, 3),
            )
            on_thaw()
