"""A process that is told to stop, or to read its settings again."""

import asyncio
import os
import signal

from sycamore_core.errors import SettingsError
from sycamore_core.ids import EntryId, KeyId, ZoneId
from sycamore_core.messages import PeerKeys
from sycamore_core.routing import RouteKind

from ..fleet.feed import FleetSnapshot, Revision
from ..process import ForwardingProcess
from ..settings import ForwardingSettings
from .builders import (
    HOST,
    FixedFeed,
    RawEndpoint,
    SimpleWire,
    entry_before,
    request_bytes,
    route,
    saying,
    whole,
)

NOWHERE = f'{HOST}:0'
KEYS = PeerKeys({KeyId('k'): b'0123456789abcdef'}, KeyId('k'))
NOTHING = FleetSnapshot(Revision(1), None, ())


class ChangingSettings:
    """Settings that differ each time they are read."""

    def __init__(self) -> None:
        self.reads = 0

    def read(self) -> ForwardingSettings:
        self.reads += 1
        return ForwardingSettings(
            name=EntryId('entry-1'),
            zone=ZoneId('a'),
            callers=NOWHERE,
            ready=NOWHERE,
            stop_seconds=float(self.reads),
        )


async def test_signal_to_read_settings_does_not_end_the_process() -> None:
    """The operator changes the settings file and signals it.

    A process that does not handle the signal dies of it, and all requests
    that it serves are cut off.
    """
    settings = ChangingSettings()
    feed = FixedFeed(NOTHING)
    process = ForwardingProcess.from_settings(
        settings.read, feed, SimpleWire(), KEYS
    )
    running = asyncio.create_task(process.run())
    await asyncio.sleep(0.1)
    os.kill(os.getpid(), signal.SIGHUP)
    while settings.reads < 2:
        await asyncio.sleep(0.01)
    assert not running.done()
    assert process.context.settings.stop_seconds == 2
    os.kill(os.getpid(), signal.SIGTERM)
    await running


async def test_unreadable_settings_leave_those_in_force() -> None:
    """The settings file is being written as it is read again."""
    settings = ChangingSettings()
    feed = FixedFeed(NOTHING)
    process = ForwardingProcess.from_settings(
        settings.read, feed, SimpleWire(), KEYS
    )
    before = process.context.settings

    def fail() -> ForwardingSettings:
        raise SettingsError('half a file')

    process.read_settings = fail
    process.reload(asked=True)
    assert process.context.settings == before


async def test_request_that_has_come_is_answered_before_the_end() -> None:
    """A request arrives at the moment at which idle connections are closed.

    Its bytes lie in the socket. Closed then, the caller would not know
    whether its deposit was recorded.
    """
    endpoint = RawEndpoint('e1', saying(whole('recorded')))
    async with entry_before(route(RouteKind.UNSAFE), endpoint) as entry:
        reader, writer = await asyncio.open_connection(HOST, entry.port)
        idle, _ = await asyncio.open_connection(HOST, entry.port)
        while len(entry.connections.waiting) < 2:
            await asyncio.sleep(0.01)
        writer.write(request_bytes())
        entry.context.is_stopping = True
        entry.connections.close_waiting()
        assert not await asyncio.wait_for(idle.read(), 2)
        answer = await asyncio.wait_for(reader.read(), 2)
    assert answer.endswith(b'recorded')
    assert b'Connection: close' in answer
