"""Log lines never hold up the process."""

import io
import os
import threading
import time

from ..line_writer import LEFT_OUT, LineWriter

LINES = 2000
LINE = 'x' * 99


def test_reader_that_stops_reading_costs_lines_only() -> None:
    """Whoever collects the log hangs, and the pipe to it is full.

    The next request would wait for the log; guests would see the whole entry
    hang. Lines are lost instead, and their number is said.
    """
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stream:
        writer = LineWriter(stream, most_waiting_bytes=50_000)
        began = time.monotonic()
        for _ in range(LINES):
            writer.write(f'{LINE}\n')
        assert time.monotonic() - began < 1
        assert writer.left_out
        collected: list[bytes] = []
        reader = threading.Thread(
            target=_read_all, args=(reading, collected), daemon=True
        )
        reader.start()
        writer.close()
        writer.write('last\n')
        while LEFT_OUT not in b''.join(collected).decode():
            time.sleep(0.01)


def _read_all(descriptor: int, collected: list[bytes]) -> None:
    while chunk := os.read(descriptor, 65536):
        collected.append(chunk)


def test_lines_come_out_in_order() -> None:
    stream = io.StringIO()
    writer = LineWriter(stream)
    for number in range(100):
        writer.write(f'{number}\n')
    writer.close()
    assert stream.getvalue().split() == [str(one) for one in range(100)]


def test_output_that_is_closed() -> None:
    """The output is gone; the process goes on without its log."""
    stream = io.StringIO()
    stream.close()
    writer = LineWriter(stream)
    writer.write('line\n')
    writer.close()
    assert writer.failure
