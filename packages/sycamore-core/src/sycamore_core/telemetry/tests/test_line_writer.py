"""Tests that log lines never block the process."""

import io
import json
import os
import threading
import time

from ..line_writer import DROPPED_LINES_EVENT, LineWriter

LINES = 2000
LINE = 'x' * 99


def test_stalled_reader_does_not_block_the_writer() -> None:
    """Guards against a hanging log collector that blocks all requests.

    When the pipe to the collector is full, lines are dropped, and a line
    reports their number.
    """
    read_descriptor, write_descriptor = os.pipe()
    with os.fdopen(write_descriptor, 'w') as stream:
        writer = LineWriter(stream, max_buffered_bytes=50_000)
        began = time.monotonic()
        for _ in range(LINES):
            writer.write(f'{LINE}\n')
        assert time.monotonic() - began < 1
        collected: list[bytes] = []
        reader = threading.Thread(
            target=_read_all, args=(read_descriptor, collected), daemon=True
        )
        reader.start()
        writer.close()
        writer.write('last\n')
        while not _count_dropped(b''.join(collected)):
            time.sleep(0.01)


def _count_dropped(written: bytes) -> int:
    """Return the number of dropped lines that the reports add up to."""
    reports = [
        json.loads(line)
        for line in written.decode().splitlines(keepends=True)
        if DROPPED_LINES_EVENT in line and line.endswith('\n')
    ]
    return sum(report['lines'] for report in reports)


def _read_all(descriptor: int, collected: list[bytes]) -> None:
    while chunk := os.read(descriptor, 65536):
        collected.append(chunk)


def test_lines_are_written_in_order() -> None:
    stream = io.StringIO()
    writer = LineWriter(stream)
    for number in range(100):
        writer.write(f'{number}\n')
    writer.close()
    assert stream.getvalue().split() == [str(number) for number in range(100)]


def test_closed_output_is_recorded_as_a_failure() -> None:
    """Guards against a closed output that ends the process."""
    stream = io.StringIO()
    stream.close()
    writer = LineWriter(stream)
    writer.write('line\n')
    writer.close()
    assert writer.failure
