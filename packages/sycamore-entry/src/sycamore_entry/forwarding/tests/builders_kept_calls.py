"""Calls that are silent at their first replica, and begin at a second one."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from sycamore_core.routing import RouteKind

from .builders import (
    SERVICE,
    RawEndpoint,
    Script,
    TestEntry,
    full_answer,
    never_reply,
    route,
    running_entry,
)
from .builders_fallback import assert_nothing_is_held, wait_until

LIMIT_SECONDS = 1.5
#: The first replica is left after .6 s.
LATE_SECONDS = 0.9
SAFE = route(RouteKind.SAFE, time_limit=LIMIT_SECONDS)


def wait_then(*pieces: bytes, seconds: float = LATE_SECONDS) -> Script:
    """Return a script that waits before each piece; it notes a close."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for piece in pieces:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await never_reply(reader, writer)
            writer.write(piece)
            await writer.drain()

    return script


#: Answers in time, although the call was begun at another replica by then.
LATE = wait_then(full_answer('first'))


class Replicas:
    """Two replicas; the first that gets a request has the first script.

    Attributes
    ----------
    asked
        Those that got a request, in order.
    """

    def __init__(self, *scripts: Script) -> None:
        self.scripts = scripts
        self.asked: list[RawEndpoint] = []
        self.fleet = [self._replica(name) for name in ('e1', 'e2')]

    @property
    def closed(self) -> list[int]:
        """Return how often the entry closed a connection of each."""
        return [one.closed for one in self.asked]

    def _replica(self, name: str) -> RawEndpoint:
        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self.asked.append(replica)
            await self.scripts[len(self.asked) - 1](reader, writer)

        replica = RawEndpoint(name, talk)
        return replica


@contextlib.asynccontextmanager
async def entry_before(replicas: Replicas) -> AsyncIterator[TestEntry]:
    """Run an entry; at the end nothing is held for any request."""
    async with running_entry(SAFE, *replicas.fleet) as entry:
        yield entry
        await wait_until(lambda: not entry.connections.tasks)
        assert_nothing_is_held(entry, SERVICE)
        assert not entry.context.flow.held.count


async def answer_of(*scripts: Script) -> tuple[bytes, Replicas]:
    """Return the answer to one call, and the replicas that it reached."""
    replicas = Replicas(*scripts)
    async with entry_before(replicas) as entry:
        return await entry.ask(), replicas
