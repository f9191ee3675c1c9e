"""Entries in virtual time that read a store and report versions."""

import asyncio
import contextlib

from sycamore_core.decisions.propagation import CellPlace
from sycamore_core.errors import PlatformError
from sycamore_core.messages import Message, SettingsBody, SettingsWanted
from sycamore_core.routing import PublishedTable

from ..fleet.feed import (
    ChangeBatch,
    FleetSnapshot,
    HistoryLostError,
    Revision,
    TableChanged,
)
from ..fleet.keeper import FleetKeeper
from ..mesh.newer_settings import NewerSettings
from .builders import SNAPSHOT, FixedFeed
from .virtual_time import VirtualClock, VirtualLoop

#: Time that a call or a message takes, in seconds.
CALL_SECONDS = 0.005
#: Time allowed for an answer beyond the requested wait, in seconds.
LIST_SECONDS = 1.0
WATCH_SECONDS = 0.8
#: Time between two reports of an entry, and until a new version is reported,
#: in seconds.
REPORT_SECONDS = 1.0
URGENT_SECONDS = 0.1


class ModelStore:
    """The operator's configurations and how the store answers.

    Attributes
    ----------
    acks
        When each version was acknowledged.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.version = 0
        self.revision = 1
        self.oldest = 1
        self.acks: dict[int, float] = {}
        self.changed = asyncio.Event()

    def publish(self, step: int) -> None:
        """Acknowledge a newer version."""
        self.version += step
        self.revision += 1
        self.acks[self.version] = self.clock.monotonic()
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self) -> None:
        """Discard the history of changes."""
        self.revision += 1
        self.oldest = self.revision

    def due_version(self, seconds: float) -> int:
        """Return the newest version that was acknowledged some time ago."""
        horizon = self.clock.monotonic() - seconds
        due = (version for version, at in self.acks.items() if at <= horizon)
        return max(due, default=0)


class ModelFeed(FixedFeed):
    """The reads of one entry.

    Attributes
    ----------
    refuses, is_silent
        Whether calls fail at once, or are not answered.
    losses
        Number of times that the answers to all open calls were lost.
    """

    def __init__(self, store: ModelStore) -> None:
        super().__init__(SNAPSHOT)
        self.store = store
        self.refuses = False
        self.is_silent = False
        self.losses = 0

    async def snapshot(self) -> FleetSnapshot:
        losses = self.losses
        await self._begin(LIST_SECONDS)
        await self._check_lost(losses, LIST_SECONDS)
        return FleetSnapshot(
            Revision(self.store.revision), self._table(), SNAPSHOT.endpoints
        )

    async def changes(
        self,
        after: Revision,
        wait_seconds: float,
    ) -> ChangeBatch:
        losses = self.losses
        await self._begin(wait_seconds + WATCH_SECONDS)
        if after < self.store.oldest:
            raise HistoryLostError('forgotten')
        store = self.store
        until = store.clock.monotonic() + wait_seconds
        while store.revision <= after and store.clock.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until - store.clock.monotonic()):
                    await store.changed.wait()
        limit = until - store.clock.monotonic() + WATCH_SECONDS
        await self._check_lost(losses, limit)
        changes = (TableChanged(self._table()),)
        return ChangeBatch(
            Revision(store.revision), changes if store.revision > after else ()
        )

    def _table(self) -> PublishedTable:
        return self.read_table(str(self.store.version).encode())

    async def _begin(self, limit: float) -> None:
        await asyncio.sleep(CALL_SECONDS)
        if self.is_silent:
            await asyncio.sleep(limit)
            raise PlatformError('no answer')
        if self.refuses:
            raise PlatformError('refused')

    async def _check_lost(self, losses: int, limit: float) -> None:
        if self.is_silent or losses != self.losses:
            await asyncio.sleep(limit)
            raise PlatformError('no answer')


class ModelPeer:
    """The way from one entry to another.

    Attributes
    ----------
    is_cut
        Whether messages are lost.
    """

    def __init__(self, sender: 'ModelEntry', receiver: 'ModelEntry') -> None:
        self.sender = sender
        self.receiver = receiver
        self.is_cut = False
        self.address = receiver.address

    def post(self, message: Message) -> None:
        if not self.is_cut:
            asyncio.get_running_loop().call_later(
                CALL_SECONDS, self.receiver.handle, self.sender, message
            )


class ModelEntry:
    """One entry, with lifetimes one after the other.

    Attributes
    ----------
    harmed_until
        Until when its contact with the store was harmed; infinite while it is.
    is_deaf_to_requests
        Whether it sends no configurations, though it reports its version.
    """

    def __init__(self, fleet: 'ModelFleet', place: int) -> None:
        self.fleet = fleet
        self.place = place
        self.address = f'tcp://entry-{place}'
        self.feed = ModelFeed(fleet.store)
        self.peers: dict[int, ModelPeer] = {}
        self.harmed_until: float = 0
        self.is_deaf_to_requests = False
        self.highest = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_running(self) -> bool:
        return bool(self._tasks)

    @property
    def version(self) -> int:
        return self.keeper.version

    def start(self) -> None:
        """Begin a new lifetime."""
        self.keeper = FleetKeeper(self.feed, self.fleet.clock)
        self.settings = NewerSettings(self.keeper)
        self.highest = 0
        self._tasks = [
            asyncio.create_task(self.keeper.run()),
            asyncio.create_task(self._report()),
        ]

    async def end(self) -> None:
        """End this lifetime."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def handle(self, sender: 'ModelEntry', message: Message) -> None:
        """Handle a message of a peer."""
        if not self.is_running:
            return
        peer = self.peers[sender.place]
        if isinstance(message, SettingsWanted) and not self.is_deaf_to_requests:
            self.settings.answer(peer, message)
        elif isinstance(message, SettingsBody):
            self.settings.apply(peer, message)

    def hear(self, sender: 'ModelEntry', version: int) -> None:
        """Handle the report of a peer."""
        if self.is_running:
            self.settings.compare(self.peers[sender.place], version)

    async def _report(self) -> None:
        """Report the version to all, at once if it is new."""
        reported = 0
        next_at: float = 0
        while True:
            now = self.fleet.clock.monotonic()
            if self.version != reported or now >= next_at:
                reported = self.version
                next_at = now + REPORT_SECONDS
                self._report_to_all(reported)
            await asyncio.sleep(URGENT_SECONDS)

    def _report_to_all(self, version: int) -> None:
        loop = asyncio.get_running_loop()
        for peer in self.peers.values():
            if not peer.is_cut:
                loop.call_later(CALL_SECONDS, peer.receiver.hear, self, version)


class ModelFleet:
    """Entries, their store, and what is harmed."""

    def __init__(self, loop: VirtualLoop, entries: int) -> None:
        self.clock = VirtualClock(loop)
        self.store = ModelStore(self.clock)
        self.entries = [ModelEntry(self, place) for place in range(entries)]
        for one in self.entries:
            for other in self.entries:
                if one is not other:
                    one.peers[other.place] = ModelPeer(one, other)

    def update_places(self) -> None:
        """Tell all entries their places among the running ones."""
        running = [one for one in self.entries if one.is_running]
        for rank, entry in enumerate(running):
            limit = entry.keeper.read_limit
            limit.place = CellPlace(rank, len(running))
            limit.entries = len(self.entries)
