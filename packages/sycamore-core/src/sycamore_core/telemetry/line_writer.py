"""Writes log lines without blocking the process.

Without this, a log collector that stops reading fills the pipe, and the next
log line blocks the process in the middle of a request. A separate thread
therefore writes the lines. When its buffer is full, new lines are dropped, and
a line with the number of dropped lines follows.
"""

import math
import threading
import time
from collections import deque

from .output import Output

#: Size of the buffer, in bytes. A line has about 400 bytes, so that the buffer
#: holds what a busy entry logs in about ten seconds.
MAX_BUFFERED_BYTES = 1_048_576
#: Lines that arrive within this time are written together, in seconds, since
#: each write wakes the thread and needs a system call.
BATCH_INTERVAL_SECONDS = 0.05
#: Time that a stopping process waits for the last lines, in seconds.
CLOSE_TIMEOUT_SECONDS = 0.5
#: Duration of a write after which nobody seems to read, in seconds. A stopping
#: process does not wait then.
STALLED_SECONDS = 0.25
#: Event of the line that reports the number of dropped lines.
DROPPED_LINES_EVENT = 'log_lines_left_out'


class LineWriter:
    """Output stream of lines that never blocks the caller.

    Attributes
    ----------
    dropped_lines
        Number of lines that were not written since the last report of them.
    failure
        Error message of the last failed write; empty if none has failed.
    """

    def __init__(
        self,
        stream: Output,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.stream = stream
        self.max_buffered_bytes = max_buffered_bytes
        self.dropped_lines = 0
        self.failure = ''
        self._buffer: deque[str] = deque()
        self._buffered_bytes = 0
        self._write_began = math.inf
        # A finalizer may log while its thread is within the lock.
        self._lock = threading.RLock()
        self._has_lines = threading.Event()
        self._closing = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, line: str) -> None:
        """Append a line to the buffer, or drop it if the buffer is full."""
        size = len(line)
        with self._lock:
            if self._buffered_bytes + size > self.max_buffered_bytes:
                self.dropped_lines += 1
                return
            self._buffer.append(line)
            self._buffered_bytes += size
            self._idle.clear()
        self._has_lines.set()

    def flush(self) -> None:
        """Do nothing; the thread writes and flushes the lines."""

    def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT_SECONDS` for the last lines.

        If nobody reads, the process would be killed at the end of its grace
        for lines that nobody gets.
        """
        self._closing.set()
        if not self.is_stalled:
            self._idle.wait(CLOSE_TIMEOUT_SECONDS)

    @property
    def is_stalled(self) -> bool:
        """Whether a write waits for somebody to read."""
        return time.monotonic() - self._write_began > STALLED_SECONDS

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_buffered()
            self._closing.wait(BATCH_INTERVAL_SECONDS)

    def _write_buffered(self) -> None:
        """Write the buffered lines, or count them as dropped if that fails."""
        dropped, lines = self._pop_lines()
        self._write_began = time.monotonic()
        try:
            self._write(dropped, lines)
        except Exception as error:
            # A failure to write the log cannot be logged. The process goes on
            # serving without the log.
            self.failure = str(error)
            with self._lock:
                self.dropped_lines += dropped + len(lines)
        self._write_began = math.inf
        with self._lock:
            self._buffered_bytes = sum(map(len, self._buffer))
            if not self._buffer:
                self._idle.set()

    def _pop_lines(self) -> tuple[int, deque[str]]:
        """Return the number of dropped lines, and the buffered ones."""
        with self._lock:
            lines = self._buffer
            self._buffer = deque()
            dropped = self.dropped_lines
            self.dropped_lines = 0
        return dropped, lines

    def _write(self, dropped: int, lines: deque[str]) -> None:
        text = ''.join(lines)
        if dropped:
            report = f'{{"event":"{DROPPED_LINES_EVENT}","lines":{dropped}}}'
            text = f'{text}{report}\n'
        self.stream.write(text)
        self.stream.flush()
