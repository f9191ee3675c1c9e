"""Answers of the platform that are no answers, or that break off."""

from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from sycamore_standins.broken_server import BrokenServer, Ending

from ...errors import PlatformError
from ...ids import SettingsVersion
from .. import HttpInstanceSource, HttpSettingsSource

Read = Callable[[str], Coroutine[None, None, Any]]
LINE = 'Settings-Version: 4'


async def read_settings(url: str) -> Any:
    source = HttpSettingsSource(url)
    try:
        return await source.read_above(SettingsVersion(3), 0)
    finally:
        source.close()


async def read_instances(url: str) -> Any:
    source = HttpInstanceSource(url)
    try:
        return await source.read()
    finally:
        source.close()


def answer_with(status: str, line: str = LINE, body: str = '[]') -> bytes:
    head = f'HTTP/1.1 {status} Odd\r\n{LINE}\r\n{line}\r\n'
    return f'{head}Content-Length: {len(body)}\r\n\r\n{body}'.encode('latin-1')


@pytest.mark.parametrize('read', [read_settings, read_instances])
@pytest.mark.parametrize(
    'answer',
    [
        *(answer_with(status) for status in ('000', '099', '600', '999')),
        *(answer_with(status) for status in ('1000', '20', '+200', '103')),
        *(
            answer_with('200', line)
            for line in (
                'Odd Name: x',
                'Odd\tName: x',
                'Odd\0Name: x',
                'Odd\x01Name: x',
                'Content Length: 1',
                'Odd : x',
                'Odd',
                'Content-Length: 1',
            )
        ),
        answer_with('200', body='[]').replace(b'h: 2', b'h: 9'),
    ],
)
async def test_broken_answer_of_the_platform_is_none(
    answer: bytes, read: Read
) -> None:
    """Guards against settings and instances that the platform has not sent."""
    async with BrokenServer(answer) as server:
        with pytest.raises(PlatformError):
            await read(server.url)


@pytest.mark.parametrize('read', [read_settings, read_instances])
async def test_part_of_an_answer_of_the_platform(read: Read) -> None:
    """Guards against a part that is taken for all settings or instances."""
    part = f'HTTP/1.1 200 OK\r\n{LINE}\r\n\r\n[]'.encode()
    async with BrokenServer(part, Ending.RESET) as server:
        with pytest.raises(PlatformError):
            await read(server.url)


@pytest.mark.parametrize('read', [read_settings, read_instances])
async def test_whole_answer_of_the_platform_without_a_length(
    read: Read,
) -> None:
    """Guards against the loss of an answer that ends in order."""
    whole = f'HTTP/1.1 200 OK\r\n{LINE}\r\n\r\n[]'.encode()
    async with BrokenServer(whole) as server:
        assert await read(server.url) is not None
