"""A platform that is restored from a copy that is some seconds old."""

import asyncio

import msgspec
from sycamore_core.clock import ManualClock
from sycamore_core.errors import PlatformError
from sycamore_core.ids import EndpointId, SettingsVersion
from sycamore_core.routing import EndpointRecord, PublishedTable, RouteKind

from ..fleet.feed import (
    ChangeBatch,
    Epoch,
    FleetSnapshot,
    HistoryLostError,
    Revision,
)
from ..fleet.keeper import FleetKeeper
from ..fleet.restoration import SETTLE_SECONDS
from .builders import ENDPOINT, SERVICE, FixedFeed, route, table_of

OTHER = msgspec.structs.replace(ENDPOINT, endpoint=EndpointId('e2'))
NEWER_VERSION = SettingsVersion(9)


class CopiedFeed(FixedFeed):
    """A platform whose answers are prepared by a test.

    Attributes
    ----------
    batches
        Answers to watches, in order; after them, watches return no change.
    """

    def __init__(self, *listed: EndpointRecord) -> None:
        super().__init__(listing(Epoch(1), *listed))
        self.batches: list[ChangeBatch | PlatformError] = []
        self.snapshot_count = 0

    def restore(self, *listed: EndpointRecord, version: int = 3) -> None:
        """Restore an older copy, which has these endpoints."""
        self.fixed = listing(Epoch(2), *listed, version=version)

    async def snapshot(self) -> FleetSnapshot:
        self.snapshot_count += 1
        return self.fixed

    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        if not self.batches:
            await asyncio.sleep(0)
            return ChangeBatch(after, epoch=self.fixed.epoch)
        answer = self.batches.pop(0)
        if isinstance(answer, PlatformError):
            raise answer
        return answer


def listing(
    epoch: Epoch,
    *listed: EndpointRecord,
    version: int = 3,
) -> FleetSnapshot:
    table = table_of(route(RouteKind.SAFE))
    table.version = SettingsVersion(version)
    published = PublishedTable(table, str(version).encode())
    return FleetSnapshot(Revision(10), published, listed, epoch)


async def start_keeper(feed: CopiedFeed, clock: ManualClock) -> FleetKeeper:
    """Return a keeper that has read the first list."""
    keeper = FleetKeeper(feed, clock)
    await keeper.read_once()
    return keeper


def usable(keeper: FleetKeeper) -> set[EndpointId]:
    return {one.endpoint for one in keeper.directory.usable(SERVICE)}


async def test_revision_that_is_assigned_again_hides_no_change() -> None:
    """Guards against a watch that skips changes with reused revisions."""
    feed = CopiedFeed(ENDPOINT)
    keeper = await start_keeper(feed, ManualClock())
    feed.restore(ENDPOINT, OTHER)
    feed.batches = [ChangeBatch(Revision(12), epoch=Epoch(2))]
    await keeper.read_once()
    await keeper.read_once()
    assert usable(keeper) == {ENDPOINT.endpoint, OTHER.endpoint}


async def test_endpoint_that_the_copy_lacks_is_used_until_it_expires() -> None:
    """Guards against a service without endpoints while all are healthy."""
    feed = CopiedFeed(ENDPOINT, OTHER)
    clock = ManualClock()
    keeper = await start_keeper(feed, clock)
    feed.restore(ENDPOINT)
    feed.batches = [HistoryLostError('no history')]
    await keeper.read_once()
    await keeper.read_once()
    assert OTHER.endpoint in usable(keeper)
    clock.advance(3)
    keeper.drop_expired()
    assert OTHER.endpoint not in usable(keeper)


async def test_endpoint_that_is_gone_is_not_restored_by_the_copy() -> None:
    """Guards against requests to an endpoint whose removal was seen."""
    feed = CopiedFeed(ENDPOINT, OTHER)
    keeper = await start_keeper(feed, ManualClock())
    keeper.directory.remove(OTHER.endpoint)
    feed.restore(ENDPOINT, OTHER)
    feed.batches = [HistoryLostError('no history')]
    await keeper.read_once()
    await keeper.read_once()
    assert usable(keeper) == {ENDPOINT.endpoint}


async def test_live_endpoint_is_used_again_once_leases_have_expired() -> None:
    """Guards against a live endpoint that is never used again."""
    feed = CopiedFeed(ENDPOINT, OTHER)
    clock = ManualClock()
    keeper = await start_keeper(feed, clock)
    keeper.directory.remove(OTHER.endpoint)
    feed.restore(ENDPOINT, OTHER)
    feed.batches = [HistoryLostError('no history')]
    await keeper.read_once()
    await keeper.read_once()
    clock.advance(SETTLE_SECONDS)
    await keeper.read_once()
    await keeper.read_once()
    assert usable(keeper) == {ENDPOINT.endpoint, OTHER.endpoint}


async def test_settings_never_return_to_those_of_the_copy() -> None:
    """Guards against removed keys and routes that become valid again."""
    feed = CopiedFeed(ENDPOINT)
    feed.fixed = listing(Epoch(1), ENDPOINT, version=NEWER_VERSION)
    keeper = await start_keeper(feed, ManualClock())
    feed.restore(ENDPOINT, version=3)
    feed.batches = [HistoryLostError('no history')]
    await keeper.read_once()
    await keeper.read_once()
    assert keeper.version == NEWER_VERSION


async def test_entry_that_was_disconnected_meanwhile_lists_once_more() -> None:
    """Guards against an entry that mistakes the copy for the old state."""
    feed = CopiedFeed(ENDPOINT)
    keeper = await start_keeper(feed, ManualClock())
    feed.restore(ENDPOINT, OTHER)
    feed.batches = [PlatformError('no answer'), PlatformError('no answer')]
    for _ in range(6):
        await keeper.read_once()
    assert usable(keeper) == {ENDPOINT.endpoint, OTHER.endpoint}
    assert feed.snapshot_count == 2


async def test_entry_that_starts_after_the_restoration_uses_the_copy() -> None:
    feed = CopiedFeed(ENDPOINT)
    feed.restore(ENDPOINT, OTHER)
    keeper = await start_keeper(feed, ManualClock())
    assert usable(keeper) == {ENDPOINT.endpoint, OTHER.endpoint}


async def test_platform_without_epochs_is_read_without_new_lists() -> None:
    feed = CopiedFeed(ENDPOINT)
    feed.batches = [ChangeBatch(Revision(11)), ChangeBatch(Revision(12))]
    keeper = await start_keeper(feed, ManualClock())
    for _ in range(3):
        await keeper.read_once()
    assert feed.snapshot_count == 1
