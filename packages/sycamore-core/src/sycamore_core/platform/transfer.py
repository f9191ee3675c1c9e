"""One answer of the platform, which may arrive slowly or not at all."""

import asyncio
import time

import msgspec
import pycurl
from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders

from ..decisions.late_checks import READING_SECONDS

#: Lowest speed of a transfer, in bytes per second, and the time for which it
#: may be lower, in seconds. Transfers never last as long; with such a limit,
#: libcurl asks once a second whether a transfer was abandoned.
_LOWEST_SPEED = 1
_LOWEST_SPEED_SECONDS = 3600
#: Least time for which the event loop may read before an answer is given up,
#: in seconds.
_LEAST_READING_SECONDS = 0.02
#: Longest answer that is received, in bytes: several times the largest list.
MAX_ANSWER_BYTES = 16_777_216


class PlatformResponse(msgspec.Struct, frozen=True):
    """The complete response to a call."""

    code: int
    headers: HTTPHeaders
    body: bytes


class Transfer:
    """Waits for one answer for as long as it makes progress.

    A limit on the whole time would end each transfer of a large answer over a
    slow link, and the next one after it.

    Parameters
    ----------
    first_seconds
        Time allowed until the first byte of the body, in seconds.
    stall_seconds
        Time allowed without a byte after that, in seconds.

    Attributes
    ----------
    needs_connection
        Whether it needs a new connection.
    """

    def __init__(self, first_seconds: float, stall_seconds: float) -> None:
        self.stall_seconds = stall_seconds
        self._due = time.monotonic() + first_seconds
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self.needs_connection = False
        self._is_abandoned = False

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the answer has arrived, and more may follow."""
        return bool(self._chunks) and not self._is_abandoned

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the connection, and have an abandoned transfer ended."""
        curl.setopt(pycurl.LOW_SPEED_LIMIT, _LOWEST_SPEED)
        curl.setopt(pycurl.LOW_SPEED_TIME, _LOWEST_SPEED_SECONDS)
        curl.setopt(pycurl.FRESH_CONNECT, int(self.needs_connection))
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._check_abandoned)

    def receive(self, chunk: bytes) -> None:
        """Take the next part of the body; give one up that is too long."""
        self._received_bytes += len(chunk)
        if self._received_bytes > MAX_ANSWER_BYTES:
            self._chunks.clear()
            self.abandon()
            return
        self._chunks.append(chunk)
        self._due = time.monotonic() + self.stall_seconds

    def abandon(self) -> None:
        """Release the connection, unless the answer is complete."""
        self._is_abandoned = True

    async def wait(
        self, future: asyncio.Future[HTTPResponse]
    ) -> PlatformResponse:
        """Return the answer.

        Raises
        ------
        TimeoutError
            If the answer makes no progress.
        """
        future.add_done_callback(_retrieve_error)
        while not future.done():
            await self._wait_until_due(future)
        response = future.result()
        return PlatformResponse(
            response.code, response.headers, b''.join(self._chunks)
        )

    async def _wait_until_due(
        self, future: asyncio.Future[HTTPResponse]
    ) -> None:
        due = self._due
        await asyncio.wait((future,), timeout=due - time.monotonic())
        if future.done() or self._due > due:
            return
        # An event loop that was late has not read what arrived meanwhile.
        late_seconds = min(time.monotonic() - due, READING_SECONDS)
        reading_seconds = max(late_seconds, _LEAST_READING_SECONDS)
        await asyncio.wait((future,), timeout=reading_seconds)
        if not future.done() and self._due == due:
            raise TimeoutError(self._describe_stall())

    def _describe_stall(self) -> str:
        if self._received_bytes:
            return f'no progress after {self._received_bytes} bytes'
        return 'no answer'

    def _check_abandoned(self, *progress: float) -> bool:
        """Return whether libcurl is to end the transfer."""
        return self._is_abandoned


def _retrieve_error(future: asyncio.Future[HTTPResponse]) -> None:
    """Take the error of an answer that nobody waits for any more."""
    if not future.cancelled():
        future.exception()
