"""Waits that end while what they wait for lies unread in a socket.

The event loop of the entry is blocked for longer than the wait.
"""

import asyncio
from types import SimpleNamespace

from sycamore_core.clock import SystemClock
from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.messages import TrialAnswer
from sycamore_core.routing import RouteKind

from ..callers.refusals import Refusal, RefusalCause
from ..calls import AdmittedRequest
from ..crashes import CrashWatch
from ..errors import AttemptError
from ..fleet.first_list import FirstList
from ..placement.slot_wait import PolledSlotWait, UnplacedRequest
from .builders import (
    SNAPSHOT,
    FixedFeed,
    RawEndpoint,
    never_reply,
    route,
    running_entry,
)
from .builders_late import UnreadWord
from .builders_queue import make_call
from .test_trials import CONTENT, EntryUnderTest

#: Longer than each wait, in seconds.
LATE_SECONDS = 0.5
START_WAIT_SECONDS = 0.2
PLACEMENT = object()


def late_call() -> AdmittedRequest:
    """Return a request whose time limit is not over after the block."""
    return make_call('q1', 1, 4000, SystemClock().monotonic(), 8)


async def test_slot_that_became_free_while_late_is_taken() -> None:
    """Guards against a refusal beside a slot whose answer lies unread."""
    is_free = asyncio.Event()
    request = UnplacedRequest(
        call=late_call(),
        place=lambda: PLACEMENT if is_free.is_set() else None,
        build_refusal=lambda: Refusal(RefusalCause.OVERLOADED),
    )
    wait = PolledSlotWait(SystemClock())
    placing = asyncio.create_task(wait.place(request))
    await asyncio.sleep(0)
    UnreadWord(is_free.set).send_and_block(LATE_SECONDS)
    assert await placing is PLACEMENT


async def test_first_list_read_late_serves_those_who_wait() -> None:
    """Guards against refusals at the start though the list has arrived."""
    first = FirstList(FixedFeed(SNAPSHOT), SystemClock())
    waiting = asyncio.create_task(first.wait(START_WAIT_SECONDS))
    await asyncio.sleep(0)
    UnreadWord(first.listed.set).send_and_block(LATE_SECONDS)
    await waiting
    assert first.listed.is_set()


async def test_trial_granted_while_late_is_made() -> None:
    """Guards against a suspect that is refused although it got its trial."""
    entry = EntryUnderTest(others=1)
    entry.add_suspect()
    entry.fleet.granting_address = lambda trait: entry.postbox.address
    asking = asyncio.create_task(entry.fleet.request_trial(CONTENT))
    await asyncio.sleep(0)
    answer = TrialAnswer(CONTENT, 1, None)
    UnreadWord(
        lambda: entry.fleet.handle_trial_answer(entry.postbox, answer)
    ).send_and_block(LATE_SECONDS)
    assert await asking == 1


async def test_probe_answered_while_late_is_waited_for() -> None:
    """Guards against sending a request on before its crash is known."""
    endpoint = RawEndpoint('e1', never_reply)
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        watch = CrashWatch(entry.context)
        crashed = asyncio.Event()
        probe = asyncio.create_task(crashed.wait())
        watch.reporter = SimpleNamespace(probe_broken=lambda *_: probe)
        attempt = SimpleNamespace(watch=SimpleNamespace(had_just_begun=True))
        error = AttemptError(AttemptEnd.BROKEN, 'reset')
        handling = asyncio.create_task(
            watch.handle_failed_attempt(late_call(), attempt, error)
        )
        await asyncio.sleep(0)
        UnreadWord(crashed.set).send_and_block(LATE_SECONDS)
        await handling
        assert probe.done()
