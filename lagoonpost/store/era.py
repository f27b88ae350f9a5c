"""Tells which copy of the store an answer is from."""

from collections.abc import Callable

import eliot

from lagoonpost.tables.stamp import MAX_ERA


class EraTracker:
    """The newest era that is known.

    Attributes:
        era: Its number; 0 for a store that names none.
        on_era: Told when the store came back from an older copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self.era_listeners: list[Callable[[], None]] = []
        self._complaints: set[str] = set()

    def note(self, era: int) -> None:
        """Take an era that an answer or a peer named."""
        if era <= self.era:
            return
        eliot.log_message(
            message_type="lagoonpost:store:era", era=era, before=self.era
        )
        self.era = era
        for told in self.era_listeners:
            told()

    def check_reply(self, text: str | None, sent: int) -> int | None:
        """Return the era of an answer.

        Args:
            text: The era as the answer names it; None if it names none.
            sent: The era that was known when the call was sent.

        Returns:
            The era, or None if the answer is late and from an earlier one.
        """
        era = 0 if text is None else _parse(text)
        if era is None or era < sent:
            # The call was sent in a later era, so that this one is wrong.
            self._complain(str(text))
            return self.era
        if era < self.era:
            return None
        self.note(era)
        return era

    def _complain(self, text: str) -> None:
        if text in self._complaints:
            return
        self._complaints.add(text)
        eliot.log_message(
            message_type="lagoonpost:store:era_unreadable",
            era=text,
            known=self.era,
        )


def _parse(text: str) -> int | None:
    text = text.strip()
    if not text.isascii() or not text.isdigit():
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
