"""The output of a process, without a buffer that blocks its end.

Python flushes the buffer of its standard output as the process ends, which
waits for as long as nobody reads.
"""

import os
import sys
import time
from io import UnsupportedOperation
from typing import TextIO

#: Time after which a full pipe that does not block is tried again, in seconds.
_RETRY_SECONDS = 0.05


class DescriptorOutput:
    """Writes text to a file descriptor at once.

    Raises
    ------
    OSError
        By `write`, if the output is closed or its disk is full.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def write(self, text: str) -> None:
        """Write the whole text; wait if nobody reads."""
        left = text.encode(errors='backslashreplace')
        while left:
            left = left[self._write_part(left) :]

    def flush(self) -> None:
        """Do nothing; nothing is buffered."""

    def _write_part(self, part: bytes) -> int:
        """Return the number of bytes that the system has taken."""
        try:
            return os.write(self.descriptor, part)
        except BlockingIOError:
            # Whoever started the process shares its pipe with it, and has set
            # the mode for both.
            time.sleep(_RETRY_SECONDS)
            return 0


class NoOutput:
    """Output of a process that was started with a closed one."""

    def write(self, text: str) -> None:
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""


Output = TextIO | DescriptorOutput | NoOutput


def standard_output() -> Output:
    """Return the standard output of this process."""
    if sys.stdout is None:
        return NoOutput()
    try:
        return DescriptorOutput(sys.stdout.fileno())
    except UnsupportedOperation:
        # Output that a program has put in place of its own has no descriptor.
        return sys.stdout
