"""Server for callers that accepts what the entry can keep up with."""

import asyncio
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct import (
    CONNECTION_CHECK_SECONDS,
    MAX_LATE_SECONDS,
    ConnectionLimit,
)
from sycamore_core.telemetry import Log
from sycamore_core.telemetry.tallies import Tally
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream

from .caller_stream import CallerStream

#: Reason of a refusal without an answer, before the request is read.
_CLOSED_UNREAD = 'connection_closed_unread'


class ConnectionGate:
    """Refuses new connections while the event loop is late.

    Parameters
    ----------
    refused
        Counts of refused requests, by reason.

    Attributes
    ----------
    limit
        Decides by the checks of the event loop.
    """

    def __init__(self, clock: Clock, log: Log, refused: Tally) -> None:
        self.clock = clock
        self.log = log
        self.refused = refused
        self.limit = ConnectionLimit()
        self._is_needed = asyncio.Event()
        self._refused_count = 0

    def observe(self, late_seconds: float) -> None:
        """Handle one of the few checks that are made at all times."""
        if late_seconds >= MAX_LATE_SECONDS:
            self._is_needed.set()

    async def run(self) -> None:
        """Check the event loop often while it is late, until cancelled."""
        while True:
            await self._is_needed.wait()
            await self._check()
            while self.limit.has_late_checks:
                await self._check()
            self._is_needed.clear()

    def record_check(self, late_seconds: float) -> None:
        """Record how late a check was; log if that changes the decision."""
        was_overloaded = self.limit.is_overloaded
        self.limit.record_check(late_seconds)
        if self.limit.is_overloaded == was_overloaded:
            return
        self.log.warning(
            'connections_limited',
            is_overloaded=self.limit.is_overloaded,
            late_seconds=round(late_seconds, 3),
            refused=self._refused_count,
        )
        self._refused_count = 0

    def admit(self) -> bool:
        """Return whether to accept a connection; count those refused."""
        is_admitted = self.limit.admit()
        if not is_admitted:
            self._refused_count += 1
            self.refused.add(_CLOSED_UNREAD)
        return is_admitted

    async def _check(self) -> None:
        due = self.clock.monotonic() + CONNECTION_CHECK_SECONDS
        await asyncio.sleep(CONNECTION_CHECK_SECONDS)
        self.record_check(self.clock.monotonic() - due)


class CallerServer(HTTPServer):
    """Closes connections that are not admitted before it reads from them.

    The caller then knows that its request has not run.
    """

    def initialize(  # type: ignore[override]
        self,
        connections: HTTPServerConnectionDelegate,
        *,
        admit: Callable[[], bool],
        **options: Any,
    ) -> None:
        """Prepare the server; tornado calls this in place of `__init__`."""
        super().initialize(connections, **options)
        self.connections = connections
        self.admit = admit
        self.log = Log('callers')

    @property
    def open_count(self) -> int:
        """Return the number of connections that are not closed yet."""
        return len(self._connections)

    def stop(self) -> None:
        """Accept no further connection, and serve those that are waiting.

        The system has acknowledged what their callers sent, and would reset
        them as the listening sockets close.
        """
        waiting = tuple(self._accept_waiting(self._sockets.values()))
        super().stop()
        if waiting:
            self.log.info('waiting_connections_accepted', count=len(waiting))
        for accepted, address in waiting:
            self.handle_stream(IOStream(accepted), address)

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it."""
        if not self.admit():
            stream.close()
            return
        counting = CallerStream(
            stream.socket,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        super().handle_stream(counting, address)

    def on_close(self, server_conn: object) -> None:
        """Tell the connections of one that is closed; tornado does not."""
        super().on_close(server_conn)
        self.connections.on_close(server_conn)

    def _accept_waiting(
        self, listening: Iterable[socket.socket]
    ) -> Iterator[tuple[socket.socket, Any]]:
        """Yield the connections that the system has made, until none waits."""
        for sock in listening:
            try:
                while True:
                    yield sock.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                self.log.error('accept_failed', reason=str(error))
