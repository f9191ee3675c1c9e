"""Polling of the engine, and reconciliation of its memory with the ledger."""

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

#: Interval between reads of the engine, in seconds. Entries receive a report
#: every second, so two reads a second bound the age of the reported load. A
#: read takes milliseconds.
ENGINE_POLL_SECONDS = 0.5
#: Consecutive failed reads after which the engine counts as unavailable. They
#: span two seconds, within which a busy engine that is late once answers again.
FAILED_READS_UNTIL_UNREADY = 4
#: Largest number of cached blocks in a load report; each report carries them.
MAX_REPORTED_BLOCKS = 64
_BLOCK_STORED = 'stored'


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
    """Cache events after a given number.

    They arrive late, and some are missing.
    """

    last: int = 0
    events: tuple[CacheEvent, ...] = ()


class EngineWatch:
    """Polls the engine and reconciles the ledger with it, in one task."""

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
        self._failed_reads = 0
        self.cached_blocks: dict[int, None] = {}

    async def run(self) -> None:
        """Poll the engine until cancelled."""
        while True:
            try:
                await self.read_once()
            except BackendError as error:
                self._record_failure(error)
            else:
                self._record_success()
            await asyncio.sleep(ENGINE_POLL_SECONDS)

    async def read_once(self) -> None:
        """Read the engine once and reconcile the ledger with it.

        Raises
        ------
        BackendError
            If the engine does not answer.
        """
        requested_at = self.state.clock.monotonic()
        load = await self.control.read('/v1/load', EngineLoad)
        rows = await self.control.read('/v1/spans', tuple[SpanRow, ...])
        self.reporter.load = load
        await self._reconcile(_engine_usage(load, rows), requested_at)
        await self._read_events()

    def _record_success(self) -> None:
        if self._failed_reads:
            self.log.info('engine_readable')
        self._failed_reads = 0
        self.state.ready = True

    def _record_failure(self, error: BackendError) -> None:
        """Accept no new work while the engine does not answer.

        Without this, the endpoint process of a dead engine would keep
        reporting its former memory. Requests would be offered here and fail,
        and a prompt that fits only this engine would wait until its time
        limit.
        """
        self._failed_reads += 1
        if self._failed_reads == 1:
            self.log.warning('engine_unreadable', error=str(error))
        if self._failed_reads >= FAILED_READS_UNTIL_UNREADY:
            self.state.ready = False

    async def _reconcile(
        self,
        usage: Mapping[LeaseKey, int],
        requested_at: float,
    ) -> None:
        now = self.state.clock.monotonic()
        found = self.memory.reconcile(usage, requested_at, now)
        still_held = (
            key
            for key, lease in self.memory.leases.items()
            if lease.releasing and key in usage
        )
        for key in (*found.unknown, *still_held):
            self.log.warning('engine_holds', kind=key.kind, name=key.name)
            await release_in_engine(self.control, key)

    async def _read_events(self) -> None:
        path = f'/v1/events?after={self.last_event}'
        cache_events = await self.control.read(path, CacheEvents)
        if cache_events.last < self.last_event:
            # The engine was restarted and has lost its cache.
            self.cached_blocks.clear()
        self.last_event = cache_events.last
        for event in cache_events.events:
            self.cached_blocks.pop(event.block, None)
            if event.kind == _BLOCK_STORED:
                self.cached_blocks[event.block] = None
        newest = list(self.cached_blocks)[-MAX_REPORTED_BLOCKS:]
        self.reporter.cached_blocks = tuple(reversed(newest))


async def release_in_engine(control: ControlClient, key: LeaseKey) -> None:
    """Make the engine free the memory that it holds for `key`.

    Raises
    ------
    BackendError
        If the engine does not answer.
    """
    if key.kind is LeaseKind.RUN:
        body = CancelBody(key.name)
        await control.send('/v1/cancel', body, CancelAnswer)
    else:
        released = ReleaseBody(key.name)
        await control.send('/v1/spans/release', released, ReleaseAnswer)


def _engine_usage(
    load: EngineLoad,
    rows: tuple[SpanRow, ...],
) -> Mapping[LeaseKey, int]:
    usage = {
        LeaseKey(LeaseKind.RUN, request.request_id): request.tokens
        for request in load.requests
    }
    for row in rows:
        usage[LeaseKey(LeaseKind.SPAN, row.group, row.span)] = row.tokens
    return usage
