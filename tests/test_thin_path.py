"""The whole path, as callers see it."""

import asyncio
import json
import zlib

import msgspec
import pytest
from sycamore_standins.caller import Answer, Caller
from sycamore_standins.fleet import Fleet
from sycamore_standins.fleet.counts import read_credits, read_runs
from tornado.httpclient import HTTPRequest

from .builders import ASSISTANT, RECORDS, credit, long_answer, model_ask
from .stories import begin, resume_until_closed


async def test_stream_and_document(fleet: Fleet) -> None:
    with fleet.caller() as caller:
        for entry in (0, 1):
            stream = await caller.ask(model_ask(entry=entry))
            assert stream.whole, stream
            assert len(stream.pieces) > 1
            document = await caller.ask_document(model_ask(entry=entry))
            assert document.whole, document


async def test_prompt_reaches_the_engine_as_it_was_sent(fleet: Fleet) -> None:
    prompt = 'Ebb tide at Paje? "6:40" \u00e9'
    with fleet.caller() as caller:
        answer = await caller.ask(model_ask(prompt=prompt))
        assert answer.whole, answer
    runs = [
        run
        for engine in fleet.roster.engines
        for run in await fleet.hooks(engine).runs()
        if run.request_id == answer.request_id
    ]
    sent = msgspec.json.encode(prompt)
    assert [run.prompt_checksum for run in runs] == [zlib.crc32(sent)]


async def test_plain_call_and_reservation(fleet: Fleet) -> None:
    with fleet.caller() as caller:
        answer = await caller.call(credit('thin-1'))
        assert (answer.status, answer.business_id) == (200, 'thin-1'), answer
        bound = await caller.reserve(RECORDS)
        answer = await caller.call(credit('thin-2'), bound.request_id)
        assert (answer.status, answer.business_id) == (200, 'thin-2'), answer
        bound = await caller.reserve(ASSISTANT)
        stream = await caller.run_reserved(model_ask(), bound.request_id)
        assert stream.whole, stream
    counts = await read_credits(fleet)
    assert (counts['thin-1'], counts['thin-2']) == (1, 1)


async def test_prompt_beyond_one_engine(fleet: Fleet) -> None:
    with fleet.caller() as caller:
        answer = await caller.ask(model_ask(prompt='x' * 4 * 45_000))
        assert answer.whole, answer


async def test_long_prompt_after_many_short_ones(fleet: Fleet) -> None:
    """A morning of chat turns, then a season is to be reconciled.

    The engines' reported speed comes from tiny prompts, each of which takes a
    step of its own. The long prompt must not be refused as too slow for that:
    an idle engine computes it in a twentieth of a second.
    """
    with fleet.caller() as caller:
        for _ in range(10):
            turns = [caller.ask(model_ask(entry=entry)) for entry in (0, 1)]
            await asyncio.gather(*turns)
        ask = model_ask(prompt='x' * 4 * 14_000, time_limit=10)
        answer = await caller.ask(ask)
    assert answer.whole, answer


async def test_answer_is_fetched_again_elsewhere(fleet: Fleet) -> None:
    """A caller asks for its answer through the other entry while it comes.

    The answer moves to that entry, and its rest is numbered on.
    """
    with fleet.caller() as caller:
        running = await begin(caller, long_answer())
        seen = Answer(
            running.answer.request_id,
            running.answer.pieces,
            running.answer.tokens,
        )
        whole = await resume_until_closed(caller, seen, entry=1)
        assert whole.whole, whole
        running.task.cancel()


HUGE_BODY = b''.join((b'{"prompt": "', bytes(17_000_000), b'"}'))


class Mistake(msgspec.Struct, frozen=True, kw_only=True):
    """What is wrong with a call."""

    headers: dict[str, str] = {}
    body: bytes = b''
    path: str = 'services'
    other_path: str = 'services'


@pytest.mark.parametrize(
    ('change', 'status'),
    [
        (Mistake(headers={'Authorization': 'Bearer wrong'}), 401),
        (Mistake(headers={'Time-Limit': ''}), 400),
        (Mistake(headers={'Time-Limit': 'soon'}), 400),
        (Mistake(headers={'Idempotent': 'perhaps'}), 400),
        (Mistake(headers={'Idempotency-Key': 'mine'}), 400),
        (Mistake(body=b'{"prompt": '), 400),
        (Mistake(body=b'{}'), 400),
        (Mistake(body=b'{"tokens": ["a"]}'), 400),
        (Mistake(path='s/assistant', other_path='s/none'), 404),
        (Mistake(path='s/school', other_path='s/none'), 404),
        (Mistake(path='s/school', other_path='s/dairy'), 401),
        (Mistake(body=HUGE_BODY), 413),
    ],
)
async def test_wrong_call_is_refused_and_not_run(
    fleet: Fleet,
    change: Mistake,
    status: int,
) -> None:
    """A caller makes a mistake: it is told which, and nothing runs."""
    before = await read_runs(fleet)
    with fleet.caller() as caller:
        url = f'{service_url(caller)}/requests'
        request = changed(caller.request(model_ask(), url), change)
        response = await caller.fetch(request)
    assert response.code == status, response.body
    problem = json.loads(response.body)
    assert response.headers['Content-Type'] == 'application/problem+json'
    assert problem['not_run'] is True
    assert problem['status'] == status
    assert b'Traceback' not in response.body
    assert await read_runs(fleet) == before


async def test_forged_request_id(fleet: Fleet) -> None:
    """Somebody guesses the id of another's request."""
    with fleet.caller() as caller:
        answer = await caller.ask(model_ask())
        genuine = answer.request_id[:-2]
        forged = Answer(f'{genuine}AA')
        refused = await caller.resume(forged, entry=0)
        assert refused.problem is not None
        assert refused.problem.reason == 'forged_request_id'
    with fleet.caller(workspace=1) as stranger:
        refused = await stranger.resume(answer, entry=0)
        assert refused.problem is not None
        assert refused.problem.reason == 'unauthenticated'


def service_url(caller: Caller) -> str:
    identity = caller.identity
    base = f'{identity.entries[0]}/v1/workspaces/{identity.workspace}'
    return f'{base}/services/{ASSISTANT}'


def changed(request: HTTPRequest, change: Mistake) -> HTTPRequest:
    request.headers.update(change.headers)
    if change.body:
        request.body = change.body
    request.url = request.url.replace(change.path, change.other_path)
    return request
