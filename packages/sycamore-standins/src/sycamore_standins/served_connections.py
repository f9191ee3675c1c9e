"""Connections of a server of asyncio, each served by a task of its own."""

import asyncio
from collections.abc import Callable, Coroutine

Serve = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]
]


class ServedConnections:
    """Starts a task for each connection, which may be cancelled.

    Some versions of asyncio report a task that they have started themselves
    as a fault if it is cancelled, as at the end of a test.

    Attributes
    ----------
    tasks
        The tasks in progress.
    """

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.tasks: set[asyncio.Task[None]] = set()

    def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a new connection."""
        task = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
