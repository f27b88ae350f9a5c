"""Collects the body of a request as it arrives."""

BLOCK_BYTES = 64 * 1024
"""Size from which on a block is left as it is. Blocks of nearly the same size
reuse each other's memory, while many large buffers that grow side by side
leave gaps that take as much again."""


class BodyBuffer:
    """A body that grows in blocks.

    Attributes:
        size: Bytes collected.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._last = bytearray()
        self.size = 0

    def append(self, data: bytes | bytearray) -> None:
        """Add the bytes that follow."""
        self._last += data
        self.size += len(data)
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(self._last)
            self._last = bytearray()

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join((*self._blocks, self._last))

    def clear(self) -> None:
        """Release what was collected."""
        self._blocks.clear()
        self._last = bytearray()
        self.size = 0
