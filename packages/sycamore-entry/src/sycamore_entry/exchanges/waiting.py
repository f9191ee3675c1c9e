"""Waiting for the events that one step of an exchange expects."""

import asyncio
from typing import TypeVar

from ..errors import EntryError
from .events import ExchangeEvent, Superseded
from .mailbox import Mailbox

_Event = TypeVar('_Event')


class SupersededError(EntryError):
    """The caller reconnected; the older connection ends without an answer."""


async def next_event(mailbox: Mailbox, seconds: float) -> ExchangeEvent | None:
    """Return the next event, or None after a timeout in seconds.

    Raises
    ------
    SupersededError
        If another exchange has superseded this one.
    """
    try:
        async with asyncio.timeout(seconds):
            event = await mailbox.get()
    except TimeoutError:
        return None
    if isinstance(event, Superseded):
        raise SupersededError
    return event


async def next_event_of(
    mailbox: Mailbox,
    event_types: tuple[type[_Event], ...],
    seconds: float,
) -> _Event | None:
    """Return the next event of the given types, or None after a timeout.

    Events of other types are late events of an earlier step and are dropped.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while loop.time() < deadline:
        event = await next_event(mailbox, deadline - loop.time())
        if isinstance(event, event_types):
            return event
    return None
