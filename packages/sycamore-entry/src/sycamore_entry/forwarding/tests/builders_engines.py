"""Engines that accept orders in addition to requests."""

import asyncio

from sycamore_core.routing import RouteKind

from .builders import (
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    Script,
    chunk,
    event,
    full_answer,
    reply_with,
    route,
    stream_head,
)

#: By their published costs, four engines need 6.5 s to read the prompt. A
#: caller with a shorter timeout is refused immediately.
STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL, time_limit=12)
#: Prompt length that exceeds the memory of one engine but fits on three.
HUGE = '500000'
ANSWER = reply_with(stream_head(), chunk(event(0)), LAST_CHUNK)


class Engine(RawEndpoint):
    """An engine with one script for orders and one for requests."""

    def __init__(self, name: str, answer: Script, order: Script) -> None:
        super().__init__(name, self.serve)
        self.answer = answer
        self.order = order

    @property
    def orders(self) -> list[str]:
        """Return the received orders, without their token counts."""
        bodies = [one['body'] for one in self.requests if is_order(one)]
        return [body.split()[0] for body in bodies]

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        script = self.order if is_order(self.requests[-1]) else self.answer
        await script(reader, writer)


def is_order(request: dict[str, str]) -> bool:
    return request['line'].startswith('POST /order')


def engines(answer: Script, order: Script | None = None) -> list[Engine]:
    accepted = order or reply_with(full_answer('{}'))
    return [Engine(f'e{one}', answer, accepted) for one in range(4)]
