"""Keeps the configuration and the list of endpoints up to date.

What goes wrong: the platform is away, slow, or serves this entry nothing,
while others see changes. What is in force never goes back to an older
version, and what an entry has once seen of an endpoint's leaving binds it:
in its registration, in an answer of its own, or by word of a peer.
Nor does it believe a platform that has come back from an older copy what it
knows to be over: revisions count within one epoch only.
"""

import asyncio

from sycamore_core.clock import Clock
from sycamore_core.errors import PlatformError
from sycamore_core.ids import SettingsVersion
from sycamore_core.messages import SettingsBody
from sycamore_core.platform import unpack
from sycamore_core.routing import (
    EndpointDirectory,
    PublishedTable,
    RoutingTable,
)
from sycamore_core.telemetry import Log

from .feed import (
    Change,
    EndpointChanged,
    EndpointRemoved,
    FleetFeed,
    FleetSnapshot,
    HistoryLostError,
    Revision,
    TableChanged,
)
from .first_list import FirstList
from .leaving import LeavingNews
from .read_pace import ReadPace
from .restoration import Restoration

#: Pauses after failed reads, in seconds: the first and the longest. The
#: platform takes 2,000 reads a second from all entries together.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 0.6
#: Pause of an entry without a list after a failed read, in seconds: its callers
#: are refused meanwhile, and a hundred such entries make 700 calls a second.
UNLISTED_PAUSE = 0.15
#: Time between looks for registrations that did not come back, in seconds.
EXPIRE_SECONDS = 0.25


class FleetKeeper:
    """Holds the table in force and the directory of endpoints.

    Attributes
    ----------
    table
        The configuration in force; None before the first.
    confirmed_at
        When the platform was last known to have nothing newer, on the
        monotonic clock; None if it never was.
    first_list
        Asks for the first list of endpoints.
    pace
        When the platform is asked again.
    leaving
        Endpoints that leave.
    restoration
        Whether the platform has come back from an older copy.
    """

    def __init__(
        self,
        feed: FleetFeed,
        clock: Clock,
        pace: ReadPace | None = None,
    ) -> None:
        self.feed = feed
        self.clock = clock
        self.pace = pace or ReadPace()
        self.table: RoutingTable | None = None
        self.directory = EndpointDirectory()
        self.confirmed_at: float | None = None
        self.first_list = FirstList(feed, clock)
        self.restoration = Restoration(clock)
        self.log = Log('fleet')
        self.published: PublishedTable | None = None
        self.leaving = LeavingNews(self.directory, clock, self.log)
        self._revision = Revision(0)
        self._failures = 0

    @property
    def is_away(self) -> bool:
        """Whether the platform does not answer."""
        return self._failures > 0

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force, 0 before the first."""
        return SettingsVersion(0) if self.table is None else self.table.version

    @property
    def age(self) -> float | None:
        """Return the seconds since the last confirmation, if there was one."""
        if self.confirmed_at is None:
            return None
        return round(self.clock.monotonic() - self.confirmed_at, 3)

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and bool(self.directory.records)

    def offer_table(self, body: SettingsBody) -> None:
        """Take a peer's configuration if it is newer."""
        try:
            published = self.feed.read_table(unpack(body).body)
        except PlatformError as error:
            self.log.warning('table_of_peer_unreadable', reason=str(error))
            return
        self._take_table(published, source='peer')

    async def run(self) -> None:
        """Read and watch the platform until cancelled."""
        while True:
            has_changed = await self.step()
            if has_changed:
                await self.pace.gather()

    async def step(self) -> bool:
        """Read the platform once; return whether it showed a change."""
        try:
            has_changed = await self._read()
        except HistoryLostError as error:
            self.log.warning('history_lost', reason=str(error))
            self._revision = Revision(0)
        except PlatformError as error:
            await self._pause(error)
        else:
            return has_changed
        return False

    async def expire(self) -> None:
        """Drop registrations that did not come back, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_SECONDS)
            self.drop_expired()

    def drop_expired(self) -> None:
        """Drop registrations that should have come back by now."""
        for endpoint in self.directory.expire(self.clock.monotonic()):
            self.log.info('endpoint_expired', endpoint=endpoint)

    async def _read(self) -> bool:
        """Read what there is, or what changes next; return whether it did."""
        started = self.clock.monotonic()
        has_changed = False
        if self._revision == 0:
            read = self.feed.snapshot if self.is_ready else self.first_list.ask
            self._take_snapshot(await read())
        else:
            has_changed = await self._watch()
        self.first_list.note_answer(is_ready=self.is_ready)
        self.confirmed_at = started
        if self._failures:
            self.log.info('platform_regained', failures=self._failures)
        self._failures = 0
        return has_changed

    async def _watch(self) -> bool:
        """Wait for a first change; return whether one came."""
        seconds = self.pace.change_seconds
        batch = await self.feed.changes(self._revision, seconds)
        is_restored = self.restoration.note(batch.epoch)
        if is_restored or self.restoration.take_settled():
            # Of what the batch leaves out nothing is known.
            self._revision = Revision(0)
            return False
        for change in batch.changes:
            self._take(change)
        self._revision = max(self._revision, batch.revision)
        return bool(batch.changes)

    async def _pause(self, error: PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            self.log.warning('platform_lost', reason=str(error))
        self.first_list.note_silence()
        if self.is_ready:
            pause = FIRST_PAUSE * 2 ** min(self._failures - 1, 4)
            await asyncio.sleep(min(pause, LONGEST_PAUSE))
        else:
            await asyncio.sleep(UNLISTED_PAUSE)
        if self._failures > 1:
            # The connection answers nothing: registrations may have lapsed
            # meanwhile, and only a whole list tells.
            self._revision = Revision(0)

    def _take_snapshot(self, snapshot: FleetSnapshot) -> None:
        self.restoration.note(snapshot.epoch)
        is_old_copy = self.restoration.is_settling
        if snapshot.published is not None:
            self._take_table(snapshot.published)
        self.directory.replace(
            snapshot.endpoints,
            self.clock.monotonic(),
            after_outage=self.is_away or is_old_copy,
            is_old_copy=is_old_copy,
        )
        self._revision = snapshot.revision
        self.log.info(
            'endpoints_listed',
            endpoints=len(snapshot.endpoints),
            revision=snapshot.revision,
            after_outage=self.is_away,
            is_old_copy=is_old_copy,
        )

    def _take(self, change: Change) -> None:
        if isinstance(change, TableChanged):
            self._take_table(change.published)
        elif isinstance(change, EndpointChanged):
            self.directory.put(change.record)
            if change.record.is_leaving:
                self.leaving.registered(change.record.lifetime)
            self.log.info(
                'endpoint_changed',
                endpoint=change.record.endpoint,
                service=change.record.service,
                address=change.record.address,
                leaving=change.record.is_leaving,
            )
        elif isinstance(change, EndpointRemoved):
            self.directory.remove(change.endpoint)
            self.log.info('endpoint_removed', endpoint=change.endpoint)

    def _take_table(
        self,
        published: PublishedTable,
        source: str = 'platform',
    ) -> None:
        table = published.table
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.published = published
        self.log.info(
            'table_in_force',
            settings_version=table.version,
            routes=len(table.routes),
            workspaces=len(table.workspaces),
            source=source,
        )
