"""Engines that take orders beside requests."""

import asyncio

from sycamore_core.routing import RouteKind

from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    Talk,
    chunk,
    event,
    route,
    saying,
    stream_head,
    whole,
)

#: Four engines need 6.5 s to read the prompt by their published figures; a
#: caller with less time is refused at once.
STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=12)
#: Beyond the memory of one engine, within that of three.
HUGE = '500000'
ANSWER = saying(stream_head(), chunk(event(0)), LAST_CHUNK)


class Engine(RawEndpoint):
    """Takes orders, and answers all else by a script."""

    def __init__(self, name: str, answer: Talk, order: Talk) -> None:
        super().__init__(name, self.choose)
        self.answer = answer
        self.order = order

    @property
    def orders(self) -> list[str]:
        """Return the orders that came, without the numbers of tokens."""
        bodies = [one['body'] for one in self.requests if is_order(one)]
        return [body.split()[0] for body in bodies]

    async def choose(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        talk = self.order if is_order(self.requests[-1]) else self.answer
        await talk(reader, writer)


def is_order(request: dict[str, str]) -> bool:
    return request['line'].startswith('POST /order')


def engines(answer: Talk, order: Talk | None = None) -> list[Engine]:
    accepted = order or saying(whole('{}'))
    return [Engine(f'e{one}', answer, accepted) for one in range(4)]
