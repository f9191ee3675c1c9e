"""Waiting for a condition in place of sleeping for a time."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from .process import ProcessError

_POLL_SECONDS = 0.05
#: Generous: a busy machine must not turn a verdict.
LONGEST_WAIT_SECONDS = 30.0


async def wait_until(
    holds: Callable[[], Awaitable[bool]],
    what: str,
    seconds: float = LONGEST_WAIT_SECONDS,
) -> None:
    """Return once `holds` answers true.

    Raises
    ------
    ProcessError
        If it does not within `seconds`.
    """
    last = time.monotonic() + seconds
    while not await holds():
        if time.monotonic() > last:
            raise ProcessError(f'waited {seconds} s in vain until {what}')
        await asyncio.sleep(_POLL_SECONDS)
