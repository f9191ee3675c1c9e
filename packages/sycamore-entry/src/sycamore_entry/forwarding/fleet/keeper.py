"""Keeps the configuration and the list of endpoints up to date.

The platform may be unreachable or slow, or may not serve this entry while other
entries see changes. The configuration in force therefore never returns to an
older version. An endpoint that was reported as leaving is not used again,
whether its registration, one of its answers or a peer reported it. If the
platform is restored from an older copy, the copy may list endpoints that are
gone. The entry does not use them again. The copy has a new epoch, and revisions
are compared within one epoch only.
"""

import asyncio
import functools

from sycamore_core.clock import Clock
from sycamore_core.errors import PlatformError
from sycamore_core.ids import EndpointId, SettingsVersion
from sycamore_core.routing import (
    EndpointDirectory,
    EndpointRecord,
    RoutingTable,
)
from sycamore_core.telemetry import Log, error_fields

from .cold import ColdStarts
from .contact import PlatformContact
from .ended import EXPIRE_INTERVAL_SECONDS, EndedEndpoints
from .evacuation import EvacuatedZones
from .feed import (
    NO_REVISION,
    Change,
    EndpointChanged,
    EndpointRemoved,
    EvacuationChanged,
    FleetFeed,
    FleetSnapshot,
    HistoryLostError,
    Revision,
    TableChanged,
)
from .first_list import FirstList
from .fleet_metrics import FleetMetrics
from .leaving import LeavingEndpoints
from .read_pace import ReadRateLimit
from .restoration import Restoration
from .table_in_force import TableInForce
from .table_origin import TableOrigin
from .watch import PlatformWatch

#: Shortest and longest pause after failed reads, in seconds. The platform
#: accepts 2,000 reads a second from all entries together.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.6
#: Pause after a failed read while no endpoints are known, in seconds. The entry
#: refuses its callers meanwhile. A hundred such entries make 700 calls a
#: second.
UNLISTED_PAUSE_SECONDS = 0.15


class FleetKeeper:
    """Maintains the table in force and the directory of endpoints.

    Attributes
    ----------
    in_force
        The configuration in force.
    contact
        When the platform answered last, and how many reads failed since.
    first_list
        Fetches the first list of endpoints.
    watch
        Waits for the changes of the platform.
    read_limit
        Limits how often the platform is read.
    leaving
        Endpoints that leave.
    ended
        Lifetimes of endpoints that have ended.
    restoration
        Tracks whether the platform was restored from an older copy.
    evacuation
        Zones that are evacuated.
    cold
        Endpoints that are cold after a start.
    """

    def __init__(
        self,
        feed: FleetFeed,
        clock: Clock,
        read_limit: ReadRateLimit | None = None,
    ) -> None:
        self.feed = feed
        self.clock = clock
        self.read_limit = read_limit or ReadRateLimit()
        self.in_force = TableInForce(feed, FleetMetrics())
        self.metrics.version = lambda: self.version
        self.metrics.age = lambda: self.age
        self.directory = EndpointDirectory()
        self.contact = PlatformContact(clock)
        self.first_list = FirstList(feed, clock)
        self.watch = PlatformWatch(clock)
        self.restoration = Restoration(clock)
        self.log = Log('fleet')
        self.leaving = LeavingEndpoints(self.directory, clock, self.log)
        self.cold = ColdStarts(clock, self.log)
        self.evacuation = EvacuatedZones(self.log, lambda: self.age)
        self.ended = EndedEndpoints(self.directory, clock, self.log)
        self._revision = NO_REVISION
        self._is_first_watch = True

    @property
    def table(self) -> RoutingTable | None:
        """Return the configuration in force; None before the first."""
        return self.in_force.table

    @property
    def metrics(self) -> FleetMetrics:
        """Return the metrics of the configuration and of the reads."""
        return self.in_force.metrics

    @property
    def is_unreachable(self) -> bool:
        """Whether the platform does not answer."""
        return self.contact.is_lost

    @property
    def version(self) -> SettingsVersion:
        """Return the settings version in force; 0 before the first."""
        return self.in_force.version

    @property
    def age(self) -> float | None:
        """Return the seconds since the last confirmation; None before any."""
        return self.contact.age

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and bool(self.directory.records)

    async def run(self) -> None:
        """Read and watch the platform until cancelled."""
        while True:
            has_changed = await self.read_once()
            if has_changed:
                await self.read_limit.gather()

    async def read_once(self) -> bool:
        """Read the platform once; return whether there was a change."""
        try:
            has_changed = await self._read()
        except HistoryLostError as error:
            self.log.warning('history_lost', reason=str(error))
            self._revision = NO_REVISION
        except PlatformError as error:
            await self._pause_after_failure(error)
        except Exception as error:
            # A defect counts as a failed read, after which a full list is read.
            self.log.error('read_failed', **error_fields(error))
            await self._pause_after_failure(PlatformError(type(error).__name__))
        else:
            return has_changed
        return False

    async def expire(self) -> None:
        """Drop expired registrations at intervals, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_SECONDS)
            self.drop_expired()

    def drop_expired(self) -> None:
        """Drop registrations that were not renewed in time.

        An entry that was late reads first: renewals and signs of life of
        endpoints may have arrived meanwhile.
        """
        now = self.clock.monotonic()
        if not self.ended.checks.record(now):
            return
        for endpoint in self.directory.expire(now):
            self.log.info('endpoint_expired', endpoint=endpoint)
        self.ended.end_silent()

    async def _read(self) -> bool:
        """Read a snapshot or the next changes; return whether any came."""
        self.contact.begin_read()
        has_changed = False
        if self._revision == NO_REVISION:
            read = (
                self.feed.snapshot if self.is_ready else self.first_list.fetch
            )
            self._apply_snapshot(await read())
        else:
            has_changed = await self._watch()
        self.first_list.record_answer(is_ready=self.is_ready)
        if self.contact.record_answer(self._revision, self.version):
            self.restoration.regained_at = self.clock.monotonic()
        self.metrics.count_read(has_changed=has_changed)
        return has_changed

    async def _watch(self) -> bool:
        """Wait for a change; return whether one came."""
        seconds = self.read_limit.watch_seconds(is_first=self._is_first_watch)
        self._is_first_watch = True
        batch = await self.watch.run(
            functools.partial(self.feed.changes, self._revision, seconds)
        )
        self._is_first_watch = bool(batch.changes)
        is_restored = self.restoration.record_epoch(batch.epoch)
        if is_restored or self.restoration.pop_settled():
            # The batch may lack changes, so that a full list is needed.
            self._revision = NO_REVISION
            return False
        for change in batch.changes:
            self._apply_change(change, batch.revision)
        self._revision = max(self._revision, batch.revision)
        return bool(batch.changes)

    async def _pause_after_failure(self, error: PlatformError) -> None:
        self.contact.record_failure(error, self._revision, self.version)
        self.first_list.record_silence()
        self.metrics.count_failed_read()
        failures = self.contact.failures
        if self.is_ready:
            pause = FIRST_PAUSE_SECONDS * 2 ** min(failures - 1, 4)
            await asyncio.sleep(min(pause, MAX_PAUSE_SECONDS))
        else:
            await asyncio.sleep(UNLISTED_PAUSE_SECONDS)
        if failures > 1:
            # Registrations may have lapsed during the outage, and only a
            # full list shows it.
            self._revision = NO_REVISION

    def _apply_snapshot(self, snapshot: FleetSnapshot) -> None:
        self.restoration.record_epoch(snapshot.epoch)
        is_old_copy = self.restoration.is_settling
        if snapshot.published is not None:
            origin = TableOrigin(revision=snapshot.revision)
            self.in_force.apply(snapshot.published, origin)
        for record in snapshot.endpoints:
            self.ended.record_registration(record)
            is_first = self.contact.confirmed_at is None
            self.cold.apply_record(record, self.table, is_first_list=is_first)
        self.directory.replace(
            snapshot.endpoints,
            self.clock.monotonic(),
            after_outage=self.is_unreachable or is_old_copy,
            is_old_copy=is_old_copy,
        )
        self.evacuation.apply_list(
            snapshot,
            self.restoration.epoch,
            is_old_copy=is_old_copy,
        )
        self._revision = snapshot.revision
        self.log.info(
            'endpoints_listed',
            endpoints=len(snapshot.endpoints),
            revision=snapshot.revision,
            after_outage=self.is_unreachable,
            is_old_copy=is_old_copy,
        )

    def _apply_change(
        self, change: Change, revision: Revision = NO_REVISION
    ) -> None:
        if isinstance(change, TableChanged):
            self.in_force.apply(
                change.published, TableOrigin(revision=revision)
            )
        elif isinstance(change, EndpointChanged):
            self._apply_endpoint(change.record)
        elif isinstance(change, EndpointRemoved):
            self._remove(change.endpoint)
        elif isinstance(change, EvacuationChanged):
            self.evacuation.apply_change(change, self.restoration.epoch)

    def _apply_endpoint(self, record: EndpointRecord) -> None:
        self.ended.record_registration(record)
        self.directory.put(record)
        self.cold.apply_record(record, self.table, is_first_list=False)
        if record.is_leaving:
            self.leaving.record(record.lifetime)
        self.log.info(
            'endpoint_changed',
            endpoint=record.endpoint,
            service=record.service,
            address=record.address,
            leaving=record.is_leaving,
        )

    def _remove(self, endpoint: EndpointId) -> None:
        if not self.restoration.may_lapse_by_mistake:
            self.ended.record_removal(endpoint)
        self.directory.remove(endpoint)
        self.log.info('endpoint_removed', endpoint=endpoint)
