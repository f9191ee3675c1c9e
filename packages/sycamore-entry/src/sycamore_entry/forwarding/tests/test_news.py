"""A prompt that fills the link by which news of other entries comes."""

import asyncio

import pytest
from sycamore_core.ids import EndpointId, PeerId
from sycamore_core.routing import EngineLoad, EngineShare, RouteKind

from ..placement import placing
from .builders import (
    HOST,
    LAST_CHUNK,
    MODEL,
    RawEndpoint,
    chunk,
    entry_before,
    event,
    request_bytes,
    route,
    saying,
    stream_head,
)

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
ANSWER = saying(stream_head(), chunk(event(0)), LAST_CHUNK)
PROMPT = bytes(10_000)
#: Time for which the body is on its way, and after it the news, in seconds.
ARRIVAL = 0.1
NEWS = 0.05
FULL = EngineLoad(requests=8, writers=8, context_tokens=40_000)


@pytest.mark.parametrize('full', ['e1', 'e2'])
async def test_news_behind_a_long_prompt_is_let_in(
    full: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A prompt takes a while to arrive, and news waits behind it on the link.

    Placed at once, the prompt is sent to an engine that others have filled
    meanwhile, and waits there until one of their answers has ended. The wait
    for news is made long here, so that a busy machine changes nothing.
    """
    monkeypatch.setattr(placing, '_NEWS_PART', 10)
    monkeypatch.setattr(placing, '_LONGEST_NEWS', 1)
    one, two = (RawEndpoint(name, ANSWER) for name in ('e1', 'e2'))
    async with entry_before(STREAM, one, two) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        sent = request_bytes(body=PROMPT, Prompt='40000')
        writer.write(sent[:-1])
        await asyncio.sleep(ARRIVAL)
        writer.write(sent[-1:])
        await asyncio.sleep(NEWS)
        book = entry.context.dispatcher.book
        share = EngineShare(EndpointId(full), FULL)
        now = entry.context.clock.monotonic()
        book.hear(PeerId('p'), (share,), now, is_whole=False)
        answer = await reader.read()
        writer.close()
    assert answer.endswith(LAST_CHUNK)
    filled = one if one.name == full else two
    assert not filled.requests
