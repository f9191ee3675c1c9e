"""Memory that is reserved for a stream that was given up and goes on."""

import asyncio

import pytest

from .builders import (
    LAST_CHUNK,
    Script,
    TestEntry,
    chunk,
    event,
    full_answer,
    reply_with,
    running_entry,
    stream_head,
)
from .builders_engines import HUGE, STREAM, Engine
from .builders_fallback import GO_ON, PAUSE_SECONDS, is_rest_whole
from .test_reservations import wait_released

#: Engines for two attempts of a prompt that needs three of them.
ENGINES = 8
REJECT = reply_with(full_answer('', 503, 'Not-Run: 1\r\n'))
RESUME = reply_with(stream_head(), chunk(event(1) + event(2)), LAST_CHUNK)


class PausingFleet:
    """Engines of which the first to get the prompt pauses in its answer.

    Attributes
    ----------
    is_rejected
        Whether the others reject the prompt, or resume the stream.
    first
        What the first engine does.
    reading_seconds
        Time in which the others read the prompt.
    released
        Whether memory had been released as each later attempt arrived.
    """

    def __init__(
        self,
        *,
        is_rejected: bool,
        first: Script = GO_ON,
        reading_seconds: float = 0.1,
    ) -> None:
        self.is_rejected = is_rejected
        self.first = first
        self.reading_seconds = reading_seconds
        self.released: list[bool] = []
        self.prompts = 0
        order = reply_with(full_answer('{}'))
        self.engines = [
            Engine(f'e{number}', self.answer, order)
            for number in range(ENGINES)
        ]

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.prompts += 1
        if self.prompts == 1:
            await self.first(reader, writer)
            return
        await asyncio.sleep(self.reading_seconds)
        self.released.append(
            any('release' in engine.orders for engine in self.engines)
        )
        script = REJECT if self.is_rejected else RESUME
        await script(reader, writer)


async def break_after_pause(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send one event, pause, and reset the connection."""
    writer.write(stream_head() + chunk(event(0)))
    await writer.drain()
    await asyncio.sleep(PAUSE_SECONDS)
    writer.transport.abort()
    raise ConnectionError


async def ask(entry: TestEntry) -> bytes:
    """Return what follows the first event of a prompt that needs helpers."""
    answer = await entry.ask(Prompt=HUGE)
    _, _, rest = answer.partition(b'piece 0\n\n')
    return rest


async def test_helpers_keep_memory_for_a_stream_that_may_go_on() -> None:
    """Guards against a stream that goes on without the memory of helpers."""
    fleet = PausingFleet(is_rejected=True)
    async with running_entry(STREAM, *fleet.engines) as entry:
        assert is_rest_whole(await ask(entry))
        await wait_released(fleet.engines)
    assert fleet.released
    assert not fleet.released[0]


async def test_memory_is_released_once_the_next_attempt_has_an_event() -> None:
    """Guards against memory that stays reserved for nobody."""
    fleet = PausingFleet(is_rejected=False)
    async with running_entry(STREAM, *fleet.engines) as entry:
        assert is_rest_whole(await ask(entry))
        await wait_released(fleet.engines)
    assert fleet.released == [False]


@pytest.mark.parametrize('first', [GO_ON, break_after_pause])
async def test_memory_is_released_once_the_kept_stream_has_ended(
    first: Script,
) -> None:
    """Guards against memory that stays reserved after the end of its request.

    The next engine still reads the prompt, which may take many seconds.
    """
    fleet = PausingFleet(
        is_rejected=False, first=first, reading_seconds=PAUSE_SECONDS
    )
    async with running_entry(STREAM, *fleet.engines) as entry:
        assert is_rest_whole(await ask(entry))
        await wait_released(fleet.engines)
    assert fleet.released == [True]
