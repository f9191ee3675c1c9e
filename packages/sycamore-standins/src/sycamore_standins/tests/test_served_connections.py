"""Connections that are served by tasks of their own."""

import asyncio

import pytest

from ..served_connections import ServedConnections

HOST = '127.0.0.1'


async def wait(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await asyncio.Event().wait()
    finally:
        writer.close()


async def test_cancelled_connection_is_not_reported_as_a_fault(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lines of asyncio in tests that expect an empty log."""
    connections = ServedConnections(wait)
    server = await asyncio.start_server(connections, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(HOST, port)
    while not connections.tasks:
        await asyncio.sleep(0)
    for task in connections.tasks:
        task.cancel()
    assert not await reader.read()
    writer.close()
    server.close()
    assert not connections.tasks
    assert not caplog.records
