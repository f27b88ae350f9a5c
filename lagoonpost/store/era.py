"""Tracks the store's era, which increases with each restore from a backup."""

from collections.abc import Callable

import eliot

from lagoonpost.tables.stamp import MAX_ERA

MAX_DIGITS = 20
"""Longest era that is converted: ``int`` refuses thousands of digits."""


class EraTracker:
    """Tracks the highest known era of the store.

    Attributes:
        era: Highest known era; 0 if the store does not report eras.
        era_listeners: Called after the store was restored from an older copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self.era_listeners: list[Callable[[], None]] = []
        self._logged_texts: set[str] = set()

    def note(self, era: int) -> None:
        """Advance to an era from a response or a peer.

        Older eras are ignored, and those above the highest, of which no stamp
        can be made.
        """
        if not self.era < era <= MAX_ERA:
            return
        eliot.log_message(
            message_type="lagoonpost:store:era", era=era, before=self.era
        )
        self.era = era
        for listener in self.era_listeners:
            listener()

    def check_reply(self, text: str | None, sent: int) -> int | None:
        """Return the era of a store response and advance to it.

        Args:
            text: Value of the era header, or None if it is absent.
            sent: Highest known era when the request was sent.

        Returns:
            The era, or None if the response is stale: the era has advanced
            since the request was sent.
        """
        era = 0 if text is None else _parse(text)
        if era is None or era < sent:
            # Eras only increase, so an era below that of the request is
            # invalid.
            self._log_unreadable(str(text))
            return self.era
        if era < self.era:
            return None
        self.note(era)
        return era

    def _log_unreadable(self, text: str) -> None:
        if text in self._logged_texts:
            return
        self._logged_texts.add(text)
        eliot.log_message(
            message_type="lagoonpost:store:era_unreadable",
            era=text,
            known=self.era,
        )


def _parse(text: str) -> int | None:
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
