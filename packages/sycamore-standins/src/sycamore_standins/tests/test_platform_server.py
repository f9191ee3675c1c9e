"""The stand-ins of the platform and the plain service, over HTTP."""

import asyncio
import pathlib

import msgspec
from sycamore_core.platform import InstanceEntry
from tornado.httpclient import HTTPResponse

from ..client import get as fetch_url
from ..fleet.hooks import Hooks
from ..platform import SettingsMode
from ..platform.instances import InstanceChange
from .builders import standin


async def get(hooks: Hooks, path: str) -> HTTPResponse:
    url = f'{hooks.base}{path}'
    return await fetch_url(url)


async def test_watch_ends_with_a_publication(tmp_path: pathlib.Path) -> None:
    async with standin(tmp_path, 'platform') as hooks:
        nothing = await get(hooks, '/v1/settings?above=0&wait=0')
        assert nothing.code == 304
        watch = asyncio.create_task(
            get(hooks, '/v1/settings?above=0&wait=15'),
        )
        while (await hooks.settings_reads()).total < 2:
            await asyncio.sleep(0.01)
        await hooks.publish(4, b'{"version": 4}')
        answer = await watch
        assert answer.headers['Settings-Version'] == '4'
        assert answer.body == b'{"version": 4}'


async def test_down_stale_and_back_in_time(tmp_path: pathlib.Path) -> None:
    """The settings service is down, then stale, then goes back in time."""

    async with standin(tmp_path, 'platform') as hooks:
        path = '/v1/settings?above=1&wait=0'
        await hooks.publish(1, b'one')
        await hooks.publish(2, b'two')
        assert (await get(hooks, path)).body == b'two'
        await hooks.settings_mode(SettingsMode.DOWN)
        assert (await get(hooks, path)).code == 503
        await hooks.settings_mode(SettingsMode.STALE, 1)
        assert (await get(hooks, path)).code == 304
        await hooks.settings_mode(SettingsMode.BACK, 1)
        assert (await get(hooks, path)).body == b'one'
        await hooks.settings_mode(SettingsMode.UP)
        assert (await get(hooks, path)).body == b'two'


async def test_instances_and_weights(tmp_path: pathlib.Path) -> None:
    async with standin(tmp_path, 'platform') as hooks:
        rows = (InstanceEntry('model-0', 'tcp://127.0.0.1:1'),)
        await hooks.change_instances(InstanceChange(rows, lag_seconds=300))
        assert (await get(hooks, '/v1/instances')).body == b'[]'
        await hooks.change_instances(InstanceChange(rows))
        listed = await get(hooks, '/v1/instances')
        assert msgspec.json.decode(listed.body) == [
            {
                'instance': 'model-0',
                'address': 'tcp://127.0.0.1:1',
                'state': 'live',
            },
        ]
        rate = await get(hooks, '/v1/weights/rate')
        assert set(msgspec.json.decode(rate.body)) == {
            'bytes_per_second',
            'load_bytes',
        }


async def test_plain_service_shows_a_double(tmp_path: pathlib.Path) -> None:
    async with standin(tmp_path, 'plain') as hooks:
        body = b'{"business_id": "deposit-1"}'
        for expected in (1, 2):
            request = hooks.request('/deposits', body)
            request.headers['Request-Id'] = 'r1'
            response = await hooks.checked(request)
            echo = msgspec.json.decode(response.body)
            assert echo['times'] == expected
        calls = await hooks.calls()
        assert [call.request_id for call in calls] == ['r1', 'r1']
