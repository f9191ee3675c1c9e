"""The engine stand-in as its endpoint process sees it, over HTTP."""

import asyncio
import pathlib

import msgspec
import pytest
from tornado.httpclient import HTTPResponse

from ..client import fetch
from ..client import get as fetch_url
from ..engine.answers import step_text
from ..engine.hook_bodies import EngineFaults
from ..fleet.hooks import Hooks
from .builders import FAST, standin


async def post(hooks: Hooks, path: str, **body: object) -> HTTPResponse:
    request = hooks.request(path, msgspec.json.encode(body))
    return await fetch(request)


async def generate(hooks: Hooks, name: str, output: int = 5) -> HTTPResponse:
    return await post(
        hooks,
        '/v1/generate',
        request_id=name,
        prompt_tokens=100,
        max_output_tokens=output,
    )


def lines(response: HTTPResponse) -> list[dict[str, object]]:
    return [msgspec.json.decode(line) for line in response.body.splitlines()]


def profile_option(folder: pathlib.Path) -> str:
    path = folder / 'profile.json'
    path.write_bytes(msgspec.json.encode(FAST))
    return f'--profile={path}'


async def test_answer_is_deterministic(tmp_path: pathlib.Path) -> None:
    option = profile_option(tmp_path)
    async with standin(tmp_path, 'engine', option) as hooks:
        answer = lines(await generate(hooks, 'r1', output=3))
        assert [line.get('text') for line in answer[:3]] == [
            step_text('r1', number) for number in range(3)
        ]
        assert answer[3] == {
            'done': True,
            'outcome': 'complete',
            'output_tokens': 3,
        }
        run = (await hooks.runs())[0]
        assert (run.request_id, run.times) == ('r1', 1)
        assert (await hooks.memory()).held_tokens == 0


async def test_broken_stream_can_be_resumed(tmp_path: pathlib.Path) -> None:
    """A connection to the engine breaks in the middle of an answer.

    The run goes on in the engine; who asks again gets the lines that are
    missing, and the request has still run once.
    """

    option = profile_option(tmp_path)
    async with standin(tmp_path, 'engine', option) as hooks:
        await hooks.misbehave(EngineFaults(breaks=1, after_lines=2))
        broken = await generate(hooks, 'r1')
        assert broken.code == 599
        rest = await post(hooks, '/v1/resume', request_id='r1', after=1)
        numbers = [line.get('sequence') for line in lines(rest)]
        assert numbers == [2, 3, 4, None]
        run = (await hooks.runs())[0]
        assert run.times == 1


async def test_refusals_and_cancel(tmp_path: pathlib.Path) -> None:
    option = profile_option(tmp_path)
    async with standin(tmp_path, 'engine', option) as hooks:
        long_run = asyncio.create_task(generate(hooks, 'r1', output=9000))
        await asyncio.sleep(0)
        while not (await hooks.memory()).requests:
            await asyncio.sleep(0.01)
        assert (await generate(hooks, 'r1')).code == 409
        full = await generate(hooks, 'r2', output=2000)
        assert (full.code, full.body) == (503, b'{"error":"memory"}')
        cancelled = await post(hooks, '/v1/cancel', request_id='r1')
        assert cancelled.body == b'{"cancelled":true}'
        assert lines(await long_run)[-1]['outcome'] == 'cancelled'
        assert (await hooks.memory()).held_tokens == 0


async def test_spans_are_handed_on(tmp_path: pathlib.Path) -> None:
    option = profile_option(tmp_path)
    async with standin(tmp_path, 'engine', option) as hooks:
        span = {'group': 'g', 'span': 0, 'first_token': 0, 'tokens': 8000}
        handed = await post(hooks, '/v1/spans', **span)
        handle = msgspec.json.decode(handed.body)['handle']
        answer = await post(
            hooks,
            '/v1/generate',
            request_id='r1',
            prompt_tokens=8500,
            max_output_tokens=4,
            imports=handle,
        )
        assert lines(answer)[-1]['outcome'] == 'complete'
        assert (await hooks.memory()).held_tokens == 8000
        released = await post(hooks, '/v1/spans/release', group='g')
        assert released.body == b'{"released_tokens":8000}'
        assert (await hooks.memory()).held_tokens == 0


async def test_stalled_engine_goes_on_where_it_stood(
    tmp_path: pathlib.Path,
) -> None:
    option = profile_option(tmp_path)
    async with standin(tmp_path, 'engine', option) as hooks:
        await hooks.misbehave(EngineFaults(stalled=True))
        running = asyncio.create_task(generate(hooks, 'r1'))
        while not (await hooks.memory()).requests:
            await asyncio.sleep(0.01)
        assert not running.done()
        await hooks.misbehave(EngineFaults(aborts=0))
        assert lines(await running)[-1]['output_tokens'] == 5


@pytest.mark.parametrize(
    ('option', 'status', 'version'),
    [('--checks-fencing', 409, 'new'), ('--no-checks-fencing', 200, 'old')],
)
async def test_order_with_old_fencing_number(
    tmp_path: pathlib.Path,
    option: str,
    status: int,
    version: str,
) -> None:
    """A process that was paused sends an order that it decided on long ago.

    An engine that checks the number refuses it; one that ignores the number
    goes back to what the old order says.
    """

    async with standin(tmp_path, 'engine', option) as hooks:
        order = {'kind': 'load_model', 'model': 'm'}
        new = await post(hooks, '/v1/orders', fencing=2, version='new', **order)
        assert new.code == 200
        old = await post(hooks, '/v1/orders', fencing=1, version='old', **order)
        assert old.code == status
        state = await fetch_url(f'{hooks.base}/v1/state')
        models = msgspec.json.decode(state.body)['models']
        assert models == [{'model': 'm', 'version': version}]
