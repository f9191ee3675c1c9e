"""Endpoints that crash when a prompt contains a certain part."""

import asyncio

from sycamore_core.ids import PartDigest
from sycamore_core.routing import CrashReport
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..callers.caller_request import CallerRequest
from ..content import RequestContent
from ..context import ForwardingContext
from .builders import (
    PAUSE_SECONDS,
    TestEntry,
    chunk,
    event,
    full_answer,
    stream_head,
)
from .builders_crash import CrashingEndpoint, lifetime_of

#: Part that crashes endpoints, and parts that harmless requests contain too.
BAD_PART = 'bad'
FIRST_PART = 'first'
CALLER_PART = 'caller'
HARMLESS_PARTS = f'{FIRST_PART} {CALLER_PART}'
BAD_PARTS = f'{HARMLESS_PARTS} {BAD_PART}'
#: Crashes under a part that are permitted before all entries know it, and
#: requests with it that may be sent afterwards.
MAX_CRASHES = 5
MAX_SENT_LATER = 3


class PartCrashingEndpoint(CrashingEndpoint):
    """Answers every request, but crashes on the part `BAD_PART`."""

    async def answer_or_crash(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request, or crash."""
        if BAD_PART in self.requests[-1]['parts'].split():
            self.crash()
            raise ConnectionError
        writer.write(full_answer())


class StreamCrashingEndpoint(CrashingEndpoint):
    """Sends one event of each stream, and crashes a moment later."""

    async def answer_or_crash(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Begin an answer, and crash."""
        writer.write(stream_head() + chunk(event(0)))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
        self.crash()
        raise ConnectionError


async def stream_for_ever(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send events until the other side closes."""
    writer.write(stream_head())
    for number in range(1000):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)


def part_crashing_endpoints(number: int) -> tuple[PartCrashingEndpoint, ...]:
    """Return such endpoints that are not yet started."""
    return tuple(PartCrashingEndpoint(f'e{place}') for place in range(number))


async def ask_with_parts(entry: TestEntry, number: int, parts: str) -> bytes:
    """Send a request that is unlike all others but for its parts."""
    body = f'{number} {parts}'.encode()
    return await entry.ask(Id=f'q{body.hex()}', Parts=parts, body=body)


async def crash_with_part(entry: TestEntry, first: int, last: int) -> bytes:
    """Send requests with the bad part; return the last answer."""
    answer = b''
    for number in range(first, last):
        answer = await ask_with_parts(entry, number, BAD_PARTS)
        await asyncio.sleep(PAUSE_SECONDS)
    return answer


def digest_of_part(part: str) -> PartDigest:
    """Return the digest by which entries know a part."""
    start = RequestStartLine('POST', '/a/x?q=1', 'HTTP/1.1')
    request = CallerRequest(start, HTTPHeaders(), b'', 0)
    return RequestContent(request, None, (part,)).parts[0]


def hold_bad_part(context: ForwardingContext) -> None:
    """Have an entry hear of crashes under the bad part at three moments."""
    _report_crashes(context, ages=(1, 2, 3))


def doubt_bad_part(context: ForwardingContext) -> None:
    """Have an entry hear of five crashes under the bad part at one moment."""
    _report_crashes(context, ages=(1, 1, 1, 1, 1))


def _report_crashes(context: ForwardingContext, ages: tuple[int, ...]) -> None:
    reports = [
        CrashReport(
            digest_of_part(BAD_PART),
            lifetime_of(f'gone-{number}'),
            age,
            had_just_begun=True,
        )
        for number, age in enumerate(ages)
    ]
    now = context.clock.monotonic()
    context.suspects.quarantine.handle_reports(reports, now)
