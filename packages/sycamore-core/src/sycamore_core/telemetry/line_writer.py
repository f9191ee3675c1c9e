"""Writes log lines without ever holding up the process.

What goes wrong otherwise: whoever reads the output stops reading, the pipe is
full, and the next log line blocks the process in the middle of a request.
Lines are therefore handed to a thread of their own; when too many wait, the
newest are left out, and the next line that is written says how many.
"""

import threading
import time
from collections import deque
from typing import TextIO

#: Bytes of lines that wait to be written. A line is about 400 bytes, so that
#: this holds what a busy entry logs in about ten seconds.
MOST_WAITING_BYTES = 1_048_576
#: Lines of this time are written together, in seconds: each write wakes the
#: thread and costs a system call.
GATHER_SECONDS = 0.05
#: How long the end of a process waits for the last lines, in seconds.
FLUSH_SECONDS = 0.5
#: Event of the line that says how many were left out.
LEFT_OUT = 'log_lines_left_out'


class LineWriter:
    """A stream of lines that never blocks its caller.

    Attributes
    ----------
    left_out
        Lines that were not written since the last line that says so.
    failure
        Why lines could not be written the last time; empty if they could.
    """

    def __init__(
        self,
        stream: TextIO,
        most_waiting_bytes: int = MOST_WAITING_BYTES,
    ) -> None:
        self.stream = stream
        self.most_waiting_bytes = most_waiting_bytes
        self.left_out = 0
        self.failure = ''
        self._waiting: deque[str] = deque()
        self._waiting_bytes = 0
        self._lock = threading.Lock()
        self._arrived = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, line: str) -> None:
        """Take a line, or count it as left out."""
        size = len(line)
        with self._lock:
            if self._waiting_bytes + size > self.most_waiting_bytes:
                self.left_out += 1
                return
            self._waiting.append(line)
            self._waiting_bytes += size
            self._idle.clear()
        self._arrived.set()

    def flush(self) -> None:
        """Return at once; lines are written in their own time."""

    def close(self) -> None:
        """Wait a moment for the last lines."""
        self._idle.wait(FLUSH_SECONDS)

    def _run(self) -> None:
        while True:
            self._arrived.wait()
            self._arrived.clear()
            lines = self._take()
            self._write(''.join(lines))
            time.sleep(GATHER_SECONDS)

    def _take(self) -> list[str]:
        with self._lock:
            lines = list(self._waiting)
            self._waiting.clear()
            if self.left_out:
                count = self.left_out
                lines.append(f'{{"event":"{LEFT_OUT}","lines":{count}}}\n')
                self.left_out = 0
        return lines

    def _write(self, text: str) -> None:
        try:
            self.stream.write(text)
            self.stream.flush()
        except (OSError, ValueError) as error:
            # Nobody can be told that the log itself cannot be written; the
            # process goes on serving, and its page of metrics says so.
            self.failure = str(error)
        with self._lock:
            self._waiting_bytes = sum(len(line) for line in self._waiting)
            if not self._waiting:
                self._idle.set()
