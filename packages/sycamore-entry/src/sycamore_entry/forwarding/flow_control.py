"""Bounds on the bytes that an entry holds for slow readers.

A caller that does not read its answer, or an endpoint that does not read its
request, would make the entry hold ever more bytes, until it exceeds its memory
and is killed with all its other requests. Each connection holds a bounded
number of bytes, and so does the process. The sender has to wait beyond that,
and a reader that reads nothing is disconnected.
"""

import asyncio
import contextlib
import enum
from collections.abc import Iterator

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import EndpointId
from sycamore_core.telemetry import Log
from sycamore_core.telemetry.tallies import Tally
from tornado.iostream import IOStream

from .errors import AttemptError, SlowReaderError
from .socket_state import count_undelivered

#: Bytes of one answer that are held between an endpoint and a caller: those
#: that wait to be forwarded, those that wait to be written, and the piece that
#: is being written.
CONNECTION_BYTES = 262_144
#: Bytes that are written to a connection at a time.
PIECE_BYTES = 65_536
#: Part of the memory of the process that held bytes may take.
_MEMORY_SHARE = 0.25
#: Bytes of request bodies that this entry holds for one endpoint at most: four
#: of the largest requests. Further requests go to other endpoints.
_ENDPOINT_BODY_BYTES = 33_554_432
#: Time without progress after which a caller is disconnected, in seconds. An
#: endpoint closes an answer that stays unread for longer.
SLOW_READER_SECONDS = 3.0
#: The same for an endpoint that does not read its request, in seconds. The
#: system closes the connection after 2.9 s without a reason, which looks like
#: the end of the endpoint.
SLOW_ENDPOINT_SECONDS = 2.5
_CHECK_SECONDS = 0.25
#: Longest time that one check adds to a stall, in seconds.
_MAX_CHECK_SECONDS = 2 * _CHECK_SECONDS


class ReaderSide(enum.StrEnum):
    """Who does not read."""

    CALLER = 'caller'
    ENDPOINT = 'endpoint'

    @property
    def longest_stall(self) -> float:
        """Return the longest time without progress, in seconds."""
        if self == ReaderSide.CALLER:
            return SLOW_READER_SECONDS
        return SLOW_ENDPOINT_SECONDS


class HeldBytes:
    """Counts the bytes that are held, against a bound.

    Attributes
    ----------
    limit
        Largest number of bytes; None if it is not bounded.

    Examples
    --------
    >>> held = HeldBytes(limit=100)
    >>> held.add(60)
    >>> held.has_capacity(40), held.has_capacity(41), held.is_full
    (True, False, False)
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.count = 0

    @property
    def is_full(self) -> bool:
        """Whether no more bytes should be read."""
        return self.limit is not None and self.count >= self.limit

    def has_capacity(self, size: int) -> bool:
        """Return whether a number of bytes may be held in addition."""
        return self.limit is None or self.count + size <= self.limit

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.count += size

    def remove(self, size: int) -> None:
        """Count bytes that are no longer held."""
        self.count -= size

    @contextlib.contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count bytes while a block runs."""
        self.add(size)
        try:
            yield
        finally:
            self.remove(size)


class EndpointBodies:
    """Bytes of request bodies in flight to each endpoint.

    Examples
    --------
    >>> bodies = EndpointBodies(limit=100)
    >>> with bodies.sending('e1', 80):
    ...     bodies.accepts('e1', 30), bodies.accepts('e2', 300)
    (False, True)
    """

    def __init__(self, limit: int = _ENDPOINT_BODY_BYTES) -> None:
        self.limit = limit
        self._held: dict[EndpointId, int] = {}

    def accepts(self, endpoint: EndpointId, size: int) -> bool:
        """Return whether a body may be sent; a single one always may."""
        held = self._held.get(endpoint, 0)
        return not held or held + size <= self.limit

    @contextlib.contextmanager
    def sending(self, endpoint: EndpointId, size: int) -> Iterator[None]:
        """Count a body while its request runs at an endpoint.

        Raises
        ------
        AttemptError
            If the endpoint does not accept the body now.
        """
        if not self.accepts(endpoint, size):
            raise AttemptError(
                AttemptEnd.NOT_ACCEPTING,
                'too many bytes are in flight to the endpoint',
            )
        self._held[endpoint] = self._held.get(endpoint, 0) + size
        try:
            yield
        finally:
            self._remove(endpoint, size)

    def _remove(self, endpoint: EndpointId, size: int) -> None:
        left = self._held.get(endpoint, 0) - size
        if left:
            self._held[endpoint] = left
        else:
            self._held.pop(endpoint, None)


class FlowControl:
    """Bounds of the process, and its slow readers.

    Attributes
    ----------
    held
        Bytes that the process holds: bodies of requests, and answers that
        have not been written.
    bodies
        Request bodies in flight to each endpoint.
    cuts
        Counts of disconnected readers, by side.
    """

    def __init__(self) -> None:
        self.held = HeldBytes()
        self.bodies = EndpointBodies()
        self.cuts = Tally('side')
        self.log = Log('flow')

    def apply_memory(self, memory_bytes: int | None) -> None:
        """Set the bound that follows from the memory of the process."""
        if memory_bytes is None:
            self.held.limit = None
        else:
            self.held.limit = int(memory_bytes * _MEMORY_SHARE)

    async def drain(
        self,
        stream: IOStream,
        written: asyncio.Future[None],
        side: ReaderSide,
        size: int,
    ) -> None:
        """Wait until bytes have been written.

        Parameters
        ----------
        size
            Number of the bytes, for the log.

        Raises
        ------
        SlowReaderError
            If the reader has read nothing for too long. It is disconnected.
        """
        with self.held.holding(size):
            if stream.writing():
                await self._wait_for_reader(stream, written, side, size)
            await written

    async def _wait_for_reader(
        self,
        stream: IOStream,
        written: asyncio.Future[None],
        side: ReaderSide,
        size: int,
    ) -> None:
        clock = asyncio.get_running_loop()
        unread = _unread_bytes(stream)
        checked_at = clock.time()
        stalled: float = 0
        while not written.done():
            await asyncio.wait((written,), timeout=_CHECK_SECONDS)
            # An event loop that was late has written nothing meanwhile.
            stalled += min(clock.time() - checked_at, _MAX_CHECK_SECONDS)
            checked_at = clock.time()
            still_unread = _unread_bytes(stream)
            if still_unread != unread:
                unread = still_unread
                stalled = 0
            if stalled >= side.longest_stall and not written.done():
                self._record_cut(side, size, stalled)
                raise SlowReaderError(side.value)

    def _record_cut(self, side: ReaderSide, size: int, seconds: float) -> None:
        self.cuts.add(side)
        self.log.warning(
            'slow_reader_cut',
            side=side,
            bytes=size,
            seconds=round(seconds, 3),
            held=self.held.count,
        )


def _unread_bytes(stream: IOStream) -> int:
    """Return the bytes that the system has not delivered to the other side.

    Progress shows in complete writes only if the system does not tell.
    """
    return 0 if stream.closed() else count_undelivered(stream.socket)
