"""Reading of what the engine holds, and repair of what differs."""

import asyncio
from collections.abc import Mapping

import msgspec
from sycamore_core.errors import BackendError
from sycamore_core.telemetry import Log

from .backends.calls import ControlClient
from .backends.engine import CancelAnswer, CancelBody
from .ledger import LeaseKey, LeaseKind, MemoryLedger
from .reports import EngineLoad, Reporter
from .state import EndpointState

#: How often the engine is read, in seconds. Entries are told every second, so
#: twice as often bounds the age of what they hear; a read takes milliseconds.
READ_SECONDS = 0.5
#: Reads that may fail one after the other before the engine counts as gone:
#: two seconds, in which a busy engine that is late once has answered again.
FAILURES_TOLERATED = 4
#: Blocks told to entries: a few, since they ride on each load report.
BLOCKS_TOLD = 64
_STORED = 'stored'


class SpanRow(msgspec.Struct, frozen=True):
    """Memory that one span of a group holds in the engine."""

    group: str
    span: int
    tokens: int


class ReleaseBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/spans/release``."""

    group: str


class ReleaseAnswer(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/spans/release``."""

    released_tokens: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A block that the engine stored or evicted."""

    number: int
    kind: str
    block: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after a number; late, and some are missing."""

    last: int = 0
    events: tuple[CacheEvent, ...] = ()


class EngineWatch:
    """Keeps ledger and engine in step; one task."""

    def __init__(
        self,
        state: EndpointState,
        memory: MemoryLedger,
        reporter: Reporter,
        control: ControlClient,
    ) -> None:
        self.state = state
        self.memory = memory
        self.reporter = reporter
        self.control = control
        self.log = Log('endpoint.engine')
        self.last_event = 0
        self._failures = 0
        self.blocks: dict[int, None] = {}

    async def run(self) -> None:
        """Read the engine again and again until cancelled."""
        while True:
            try:
                await self.read_once()
            except BackendError as error:
                self._note_failure(error)
            else:
                self._note_answer()
            await asyncio.sleep(READ_SECONDS)

    async def read_once(self) -> None:
        """Read the engine once and repair what differs.

        Raises
        ------
        BackendError
            If the engine does not answer.
        """
        asked_at = self.state.clock.monotonic()
        load = await self.control.read('/v1/load', EngineLoad)
        rows = await self.control.read('/v1/spans', tuple[SpanRow, ...])
        self.reporter.load = load
        await self._repair(_usage(load, rows), asked_at)
        await self._read_events()

    def _note_answer(self) -> None:
        if self._failures:
            self.log.info('engine_readable')
        self._failures = 0
        self.state.ready = True

    def _note_failure(self, error: BackendError) -> None:
        """Take no new work while the engine does not answer.

        What goes wrong otherwise: an engine dies, its endpoint process lives
        on and reports the memory it had; requests are offered here, fail, and
        a prompt that only this engine had room for waits until its time limit.
        """
        self._failures += 1
        if self._failures == 1:
            self.log.warning('engine_unreadable', error=str(error))
        if self._failures >= FAILURES_TOLERATED:
            self.state.ready = False

    async def _repair(
        self,
        usage: Mapping[LeaseKey, int],
        asked_at: float,
    ) -> None:
        now = self.state.clock.monotonic()
        found = self.memory.reconcile(usage, asked_at, now)
        giving_up = (
            key
            for key, lease in self.memory.leases.items()
            if lease.releasing and key in usage
        )
        for key in (*found.unknown, *giving_up):
            self.log.warning('engine_holds', kind=key.kind, name=key.name)
            await free_in_engine(self.control, key)

    async def _read_events(self) -> None:
        path = f'/v1/events?after={self.last_event}'
        news = await self.control.read(path, CacheEvents)
        if news.last < self.last_event:
            # The engine was restarted: what it cached is gone.
            self.blocks.clear()
        self.last_event = news.last
        for event in news.events:
            self.blocks.pop(event.block, None)
            if event.kind == _STORED:
                self.blocks[event.block] = None
        newest = list(self.blocks)[-BLOCKS_TOLD:]
        self.reporter.cached_blocks = tuple(reversed(newest))


async def free_in_engine(control: ControlClient, key: LeaseKey) -> None:
    """Make the engine free what it holds for `key`.

    Raises
    ------
    BackendError
        If it does not answer.
    """
    if key.kind is LeaseKind.RUN:
        body = CancelBody(key.name)
        await control.send('/v1/cancel', body, CancelAnswer)
    else:
        released = ReleaseBody(key.name)
        await control.send('/v1/spans/release', released, ReleaseAnswer)


def _usage(
    load: EngineLoad,
    rows: tuple[SpanRow, ...],
) -> Mapping[LeaseKey, int]:
    usage = {
        LeaseKey(LeaseKind.RUN, held.request_id): held.tokens
        for held in load.requests
    }
    for row in rows:
        usage[LeaseKey(LeaseKind.SPAN, row.group, row.span)] = row.tokens
    return usage
