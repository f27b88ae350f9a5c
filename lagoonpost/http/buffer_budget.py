"""Limits the memory that unfinished answers take together.

Load pattern: servers in trouble send bytes that are no answer and never end,
to many requests at once. Each answer may be as large as the largest valid one
before it is given up, and some hundreds of them would take more memory than a
gateway has.
"""

SMALL_BYTES = 64 * 1024
"""Bytes that each answer may keep whatever the others keep. Nearly all valid
answers are smaller, so that a few endless ones don't make others fail."""


class BufferBudget:
    """Bytes kept of all unfinished answers of a client.

    Args:
        limit: Bytes that answers larger than ``SMALL_BYTES`` may bring the
            total to.

    Attributes:
        held: Bytes kept now.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.held = 0

    def resize(self, old: int, new: int) -> bool:
        """Change what one answer keeps.

        Args:
            old: Bytes that the answer kept.
            new: Bytes that it is to keep.

        Returns:
            False if it must not grow any more; the total is unchanged then.
        """
        total = self.held + new - old
        if new > max(old, SMALL_BYTES) and total > self._limit:
            return False
        self.held = total
        return True
