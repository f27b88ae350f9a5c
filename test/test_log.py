"""The log of a forwarding gateway before readers that stand still."""

import asyncio
import os

from lagoonpost.forwarding.log import MAX_BUFFERED_LINES, LogWriter


class TestLogWriter:
    def test_a_reader_that_reads_again_gets_new_lines(self):
        """Guards against a full buffer that is never written again."""

        async def story() -> bytes:
            reading, writing = os.pipe()
            os.set_blocking(writing, False)
            os.set_blocking(reading, False)
            log = LogWriter(writing)
            text = 100 * "x"
            for number in range(MAX_BUFFERED_LINES + 2000):
                log({"number": number, "text": text})
                await asyncio.sleep(0)
            read = b""
            for number in range(200):
                try:
                    read = os.read(reading, 1 << 20)
                except BlockingIOError:
                    read = b""
                log({"late": number})
                await asyncio.sleep(0)
            os.close(reading)
            os.close(writing)
            return read

        assert b"late" in asyncio.run(story())
