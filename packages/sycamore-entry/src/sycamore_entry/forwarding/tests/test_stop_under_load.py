"""Callers that go on sending requests until a stopping process is gone."""

import asyncio
import collections
import itertools

import msgspec
from sycamore_core.routing import RouteKind

from .builders import RawEndpoint, full_answer, request_bytes, route
from .builders_process import ProcessUnderTest, running_process

UNSAFE = msgspec.structs.replace(
    route(RouteKind.UNSAFE, time_limit=30), objective=0.3
)
CALLERS = 12
#: Times that the endpoint takes for its requests in turn, in seconds.
ANSWER_SECONDS = (0.05, 0.2, 1.2)
#: Time between the halves of a body, in seconds.
HALF_SECONDS = 0.05
BODY = b'deposit 100'


class VaryingEndpoint(RawEndpoint):
    """Answers each request after another time."""

    def __init__(self) -> None:
        super().__init__('e1', self.answer_later)
        self.seconds = itertools.cycle(ANSWER_SECONDS)

    async def answer_later(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(next(self.seconds))
        writer.write(full_answer('recorded'))


class KeenCaller:
    """Sends one request after the other until it cannot connect.

    Attributes
    ----------
    results
        Number of requests by the status of their answer; 0 without an answer.
    unanswered
        Ids of the requests without an answer.
    """

    def __init__(self, name: str, entry: ProcessUnderTest) -> None:
        self.name = name
        self.entry = entry
        self.results: collections.Counter[int] = collections.Counter()
        self.unanswered: list[str] = []
        self._sent = 0

    async def run(self) -> None:
        while True:
            try:
                reader, writer = await self.entry.connect()
            except (OSError, StopIteration):
                return
            await self._use(reader, writer)
            writer.close()

    async def _use(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_kept = True
        while is_kept:
            self._sent += 1
            name = f'{self.name}-{self._sent}'
            try:
                head = await self._ask(name, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                self.results[0] += 1
                self.unanswered.append(name)
                return
            self.results[int(head.split()[1])] += 1
            is_kept = b'Connection: close' not in head

    async def _ask(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Send a request in two parts; return the head of its answer."""
        sent = request_bytes(body=BODY, Id=name, Connection='keep-alive')
        writer.write(sent[:-5])
        await asyncio.sleep(HALF_SECONDS)
        writer.write(sent[-5:])
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.split(b'Content-Length: ')[1].split(b'\r\n')[0]
        await reader.readexactly(int(length))
        return head


async def test_no_request_that_an_endpoint_received_is_unanswered() -> None:
    """Guards against requests that end with the process."""
    endpoint = VaryingEndpoint()
    async with running_process(UNSAFE, endpoint) as entry:
        callers = [KeenCaller(f'c{one}', entry) for one in range(CALLERS)]
        asking = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(HALF_SECONDS)
        entry.stop()
        await asyncio.wait((entry.running,))
        await asyncio.wait(asking, timeout=2)
    unanswered = {name for caller in callers for name in caller.unanswered}
    received = {request['id'] for request in endpoint.requests}
    results = sum((caller.results for caller in callers), collections.Counter())
    assert not unanswered & received
    assert results[200] + results[502] == len(received)
    assert results[200] > CALLERS
