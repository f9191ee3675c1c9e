"""Waiting for the events that one step of an exchange expects."""

import asyncio
from typing import TypeVar

from ..errors import EntryError
from .events import ExchangeEvent, Superseded
from .mailbox import Mailbox

_Event = TypeVar('_Event')


class SupersededError(EntryError):
    """The caller came back on another connection; this one ends silently."""


async def next_event(mailbox: Mailbox, seconds: float) -> ExchangeEvent | None:
    """Return the next event, or None after `seconds`.

    Raises
    ------
    SupersededError
        If another exchange has taken the request over.
    """
    try:
        async with asyncio.timeout(seconds):
            event = await mailbox.get()
    except TimeoutError:
        return None
    if isinstance(event, Superseded):
        raise SupersededError
    return event


async def next_of(
    mailbox: Mailbox,
    kinds: tuple[type[_Event], ...],
    seconds: float,
) -> _Event | None:
    """Return the next event of the given kinds, or None after `seconds`.

    Events of other kinds are late ones of an earlier step and are dropped.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        event = await next_event(mailbox, until - loop.time())
        if isinstance(event, kinds):
            return event
    return None
