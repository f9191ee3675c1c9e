"""Load reports of peers that are delayed by a long prompt on the link."""

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
    event,
    reply_with,
    request_bytes,
    route,
    running_entry,
    stream_head,
)

STREAM = route(RouteKind.RESUMABLE_STREAM, MODEL)
ANSWER = reply_with(stream_head(), chunk(event(0)), LAST_CHUNK)
PROMPT = bytes(10_000)
#: Transfer time of the body, and delay of the report after it, in seconds.
ARRIVAL_SECONDS = 0.1
REPORT_DELAY_SECONDS = 0.05
FULL_LOAD = EngineLoad(requests=8, writers=8, context_tokens=40_000)


@pytest.mark.parametrize('full', ['e1', 'e2'])
async def test_reports_delayed_by_long_prompt_are_applied(
    full: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against placing a long prompt before delayed reports arrive.

    The prompt would be sent to an engine that peers have filled in the
    meantime, and would wait for a slot there. The test extends the wait for
    reports, so that a busy machine does not change the result.
    """
    monkeypatch.setattr(placing, '_REPORT_WAIT_FRACTION', 10)
    monkeypatch.setattr(placing, '_MAX_REPORT_WAIT_SECONDS', 1)
    one, two = (RawEndpoint(name, ANSWER) for name in ('e1', 'e2'))
    async with running_entry(STREAM, one, two) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        sent = request_bytes(body=PROMPT, Prompt='40000')
        writer.write(sent[:-1])
        await asyncio.sleep(ARRIVAL_SECONDS)
        writer.write(sent[-1:])
        await asyncio.sleep(REPORT_DELAY_SECONDS)
        loads = entry.context.dispatcher.loads
        share = EngineShare(EndpointId(full), FULL_LOAD)
        now = entry.context.clock.monotonic()
        loads.apply_update(PeerId('p'), (share,), now, is_full=False)
        answer = await reader.read()
        writer.close()
    assert answer.endswith(LAST_CHUNK)
    filled = one if one.name == full else two
    assert not filled.requests
