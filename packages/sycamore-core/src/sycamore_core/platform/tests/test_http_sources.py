"""Tests of the HTTP clients against a local server."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from ...errors import PlatformError
from ...ids import SettingsVersion
from .. import (
    HttpInstanceSource,
    HttpSettingsSource,
    InstanceEntry,
    InstanceState,
    PublishedSettings,
)

Read = Callable[[str], Coroutine[None, None, Any]]
PUBLISHED_VERSION = 4


class SettingsHandler(RequestHandler):
    """Answers like the settings service."""

    def get(self) -> None:
        if int(self.get_argument('above')) >= PUBLISHED_VERSION:
            self.set_status(304)
            return
        self.set_header('Settings-Version', str(PUBLISHED_VERSION))
        self.finish(b'{}')


class InstancesHandler(RequestHandler):
    """Answers like the list of instances."""

    def get(self) -> None:
        self.finish(b'[{"instance": "e", "address": "a", "state": "leaving"}]')


class BrokenHandler(RequestHandler):
    """Answers with an HTML page."""

    def get(self) -> None:
        self.finish(b'<html>')


async def read_served(prefix: str, read: Read) -> Any:
    application = Application(
        [
            ('/v1/settings', SettingsHandler),
            ('/v1/instances', InstancesHandler),
            ('/broken/.*', BrokenHandler),
        ],
    )
    server = HTTPServer(application)
    listening, port = bind_unused_port()
    server.add_sockets([listening])
    try:
        return await read(f'http://127.0.0.1:{port}{prefix}')
    finally:
        server.stop()


def read_from(prefix: str, read: Read) -> Any:
    return asyncio.run(read_served(prefix, read))


async def read_settings(url: str) -> PublishedSettings | None:
    return await HttpSettingsSource(url).read_above(SettingsVersion(3), 0)


async def read_above_latest(url: str) -> PublishedSettings | None:
    return await HttpSettingsSource(url).read_above(SettingsVersion(4), 0)


async def read_instances(url: str) -> Any:
    return await HttpInstanceSource(url).read()


def test_settings_are_read() -> None:
    published = read_from('', read_settings)
    assert published == PublishedSettings(SettingsVersion(4), b'{}')
    assert read_from('', read_above_latest) is None


def test_instances_are_read() -> None:
    expected = InstanceEntry('e', 'a', InstanceState.LEAVING)
    assert read_from('', read_instances) == (expected,)


@pytest.mark.parametrize('read', [read_settings, read_instances])
@pytest.mark.parametrize('prefix', ['/broken', '/missing'])
def test_unreadable_response_raises_platform_error(
    prefix: str, read: Read
) -> None:
    """Another server answers at the platform's address.

    Its page would be accepted as settings, or the error would end the task
    that reads the settings.
    """
    with pytest.raises(PlatformError):
        read_from(prefix, read)


@pytest.mark.parametrize('read', [read_settings, read_instances])
def test_unreachable_platform_raises_platform_error(read: Read) -> None:
    listening, port = bind_unused_port()
    listening.close()
    with pytest.raises(PlatformError):
        asyncio.run(read(f'http://127.0.0.1:{port}'))
