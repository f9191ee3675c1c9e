"""One process that a fleet started, and only such."""

import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Sequence

from sycamore_core.errors import SycamoreError

_TERM_SECONDS = 30.0


class ProcessError(SycamoreError):
    """A process of the fleet is not in the state that a test expects."""


class ManagedProcess:
    """A process by the module that it runs; it can be started again.

    Parameters
    ----------
    arguments
        Of ``python -m``.
    log
        File that takes what the process writes.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        log: pathlib.Path,
    ) -> None:
        self.name = name
        self.arguments = tuple(arguments)
        self.log = log
        self.starts = 0
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def alive(self) -> bool:
        """Whether the process runs or is frozen."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Id of the process.

        Raises
        ------
        ProcessError
            If it was not started.
        """
        if self._process is None:
            raise ProcessError(f'{self.name} was not started')
        return self._process.pid

    def start(self) -> None:
        """Start the process; it may not be ready yet."""
        if self.alive:
            raise ProcessError(f'{self.name} runs already')
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.starts += 1

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.alive:
            os.kill(self.pid, number)

    def freeze(self) -> None:
        """Stop the process where it is, as a paused machine does."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once and wait until it is gone."""
        self.signal(signal.SIGKILL)
        self.wait(_TERM_SECONDS)

    def terminate(self) -> None:
        """Ask the process to end; `wait` tells when it has."""
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float) -> int:
        """Return the exit status once the process has ended.

        Raises
        ------
        ProcessError
            If it has not ended after `seconds`.
        """
        if self._process is None:
            return 0
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise ProcessError(f'{self.name} still runs') from error

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines that the process wrote."""
        written = self.log.read_text(errors='replace').splitlines()
        return '\n'.join(written[-lines:])
