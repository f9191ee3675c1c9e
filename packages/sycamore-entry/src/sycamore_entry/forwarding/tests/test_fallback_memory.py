"""Memory that is reserved for a stream that was given up and goes on."""

import asyncio

from .builders import (
    LAST_CHUNK,
    TestEntry,
    chunk,
    event,
    full_answer,
    reply_with,
    running_entry,
    stream_head,
)
from .builders_engines import HUGE, STREAM, Engine
from .builders_fallback import GO_ON, is_rest_whole
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
    released
        Whether memory had been released as each later attempt arrived.
    """

    def __init__(self, *, is_rejected: bool) -> None:
        self.is_rejected = is_rejected
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
            await GO_ON(reader, writer)
            return
        await asyncio.sleep(0.1)
        self.released.append(
            any('release' in engine.orders for engine in self.engines)
        )
        script = REJECT if self.is_rejected else RESUME
        await script(reader, writer)


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
