"""Reads of the settings that do not hold up the event loop.

A file system that stands still would otherwise stop the process with it.
"""

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import Future

from sycamore_core.errors import SettingsError
from sycamore_core.telemetry import Log

from .settings import ForwardingSettings

_ReadSettings = Callable[[], ForwardingSettings]


async def read_in_thread(
    read: _ReadSettings, log: Log
) -> ForwardingSettings | None:
    """Return the settings; None if they cannot be read, which is logged.

    The process does not wait for the thread as it ends. It would wait for one
    of the event loop's own threads.
    """
    result: Future[ForwardingSettings] = Future()
    # Whoever waits may be cancelled; the read goes on.
    result.set_running_or_notify_cancel()
    threading.Thread(
        target=_read, args=(read, result), name='read settings', daemon=True
    ).start()
    try:
        return await asyncio.wrap_future(result)
    except SettingsError as error:
        log.error('reload_failed', reason=str(error))
        return None


def _read(read: _ReadSettings, result: Future[ForwardingSettings]) -> None:
    try:
        result.set_result(read())
    except Exception as error:
        result.set_exception(error)
