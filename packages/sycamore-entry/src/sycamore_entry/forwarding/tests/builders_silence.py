"""Endpoints that fall silent together, or answer while the entry is late."""

import asyncio
import contextlib
import threading
import time
from collections.abc import AsyncIterator

import msgspec
from sycamore_core.decisions.direct import RetryBudgetLimit
from sycamore_core.ids import EndpointId, PeerId, ServiceId
from sycamore_core.routing import Route

from .builders import (
    LAST_CHUNK,
    RawEndpoint,
    Script,
    TestEntry,
    chunk,
    event,
    running_entry,
    stream_head,
)

PEER = PeerId('entry-7')
#: Limit that fills a reserve of one retry within minutes, so that what is left
#: in a test is what the test sets.
SLOW_LIMIT = RetryBudgetLimit(ratio=0, slack=2.1)
#: Time for which an endpoint is silent, in seconds. It is longer than the
#: permitted silence of short requests.
PAUSE_SECONDS = 1.4
#: Shortly before the permitted silence of streams is over, in seconds.
BEFORE_TIMEOUT_SECONDS = 0.75
#: Time for which the event loop is blocked so that several checks are due in
#: one turn of it, in seconds.
SHORT_BLOCK_SECONDS = 0.3


class PausingEndpoint(RawEndpoint):
    """An endpoint that pauses within each stream that it begins.

    It completes a stream that it resumes at once.

    Attributes
    ----------
    sends_first
        Whether it sends an event before the pause.
    resumed
        Number of requests that came from another endpoint.
    """

    def __init__(self, name: str, *, sends_first: bool = True) -> None:
        super().__init__(name, self.pause)
        self.sends_first = sends_first
        self.begun: set[str] = set()

    async def pause(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = self.requests[-1]
        if request['id'] in self.begun:
            writer.write(stream_head() + rest_of(request) + LAST_CHUNK)
            return
        self.begun.add(request['id'])
        writer.write(stream_head())
        if self.sends_first:
            writer.write(chunk(event(0)))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        if not self.sends_first:
            writer.write(chunk(event(0)))
        writer.write(chunk(event(1)) + LAST_CHUNK)


def rest_of(request: dict[str, str]) -> bytes:
    """Return the events that a request for a stream of two has not had."""
    first = b'' if request['after'] else chunk(event(0))
    return first + chunk(event(1))


def pausing_pair(*, sends_first: bool = True) -> list[PausingEndpoint]:
    """Return two endpoints that pause once in the stream of each request."""
    fleet = [
        PausingEndpoint(name, sends_first=sends_first) for name in ('e1', 'e2')
    ]
    fleet[1].begun = fleet[0].begun
    return fleet


def leave_one_retry(entry: TestEntry, service: ServiceId) -> None:
    """Leave one retry in the budget of a service, and earn no others."""
    budget = entry.context.retry_budget(service)
    budget.bounds = SLOW_LIMIT
    budget.reserve = 1
    budget.filled_at = entry.context.clock.monotonic()


async def wait_for_requests(fleet: list[PausingEndpoint], number: int) -> None:
    """Wait until endpoints have received a number of requests."""
    async with asyncio.timeout(5):
        while request_count(fleet) < number:
            await asyncio.sleep(0.005)


def request_count(fleet: list[PausingEndpoint]) -> int:
    return sum(len(one.requests) for one in fleet)


async def ask_together(entry: TestEntry, number: int) -> list[bytes]:
    """Send short requests at the same moment; return their answers."""
    asked = [
        entry.ask(Id=f'q{place}', Prompt='4000') for place in range(number)
    ]
    return await asyncio.gather(*asked)


def is_whole(answer: bytes) -> bool:
    """Return whether a stream of two events is complete and without repeats."""
    counts = {answer.count(b'id: 0'), answer.count(b'id: 1')}
    return counts == {1} and answer.endswith(LAST_CHUNK)


def report_end(entry: TestEntry, endpoint: RawEndpoint) -> None:
    """Have a peer report that an endpoint has ended."""
    keeper = entry.context.keeper
    record = keeper.directory.find(EndpointId(endpoint.name))
    assert record is not None
    keeper.ended.removed._heard_at.clear()
    keeper.ended.apply_peer_report((record.lifetime,), PEER)


class ListeningThread:
    """The part of a server that a test needs, for a loop in a thread."""

    def __init__(self, endpoint: 'ThreadedEndpoint') -> None:
        assert endpoint.server is not None
        self.sockets = endpoint.server.sockets
        self.endpoint = endpoint

    def close(self) -> None:
        self.endpoint.loop.call_soon_threadsafe(self.endpoint.loop.stop)
        self.endpoint.thread.join()


class ThreadedEndpoint(RawEndpoint):
    """An endpoint that goes on while the event loop of the entry is blocked."""

    def __init__(self, name: str, script: Script) -> None:
        super().__init__(name, script)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run)

    async def start(self) -> None:
        self.thread.start()
        starting = asyncio.run_coroutine_threadsafe(super().start(), self.loop)
        await asyncio.wrap_future(starting)
        self.server = ListeningThread(self)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        ending = asyncio.gather(*tasks, return_exceptions=True)
        self.loop.run_until_complete(ending)
        self.loop.close()


class SteadyStream:
    """Sends an event at each interval, from a delay on."""

    def __init__(
        self, count: int, interval: float = 0.05, delay: float = 0
    ) -> None:
        self.count = count
        self.interval = interval
        self.delay = delay

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(self.delay)
        writer.write(stream_head())
        for number in range(self.count):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(self.interval)
        writer.write(LAST_CHUNK)


@contextlib.asynccontextmanager
async def entry_of_threads(
    served: Route,
    script: Script,
) -> AsyncIterator[tuple[TestEntry, list[ThreadedEndpoint]]]:
    """Run an entry in front of two endpoints that have threads of their own."""
    fleet = [ThreadedEndpoint(name, script) for name in ('e1', 'e2')]
    async with running_entry(served, *fleet) as entry:
        yield entry, fleet


async def block_loop_after_request(
    fleet: list[ThreadedEndpoint],
    pause: float,
    seconds: float,
) -> None:
    """Block the event loop some time after the first request has arrived."""
    async with asyncio.timeout(5):
        while not any(one.requests for one in fleet):
            await asyncio.sleep(0.005)
    await asyncio.sleep(pause)
    block_loop(seconds)


def block_loop(seconds: float) -> None:
    """Block the event loop, as applying large settings does."""
    time.sleep(seconds)


def patient(served: Route, time_limit: float) -> Route:
    return msgspec.structs.replace(served, time_limit=time_limit)
