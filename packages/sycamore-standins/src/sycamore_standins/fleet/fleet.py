"""Starts, harms and stops a whole fleet."""

import asyncio
import contextlib
import functools
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Self

import msgspec
from sycamore_core.ids import SettingsVersion
from sycamore_core.settings.tree import TreeNode

from ..caller import Caller, CallerIdentity
from ..client import get
from ..relay import RelayThread
from .builder import FleetBuilder
from .hooks import Hooks
from .plan import FleetPlan
from .process import ManagedProcess, ProcessError
from .roster import PLATFORM, Roster
from .views import read_view
from .waiting import wait_until

_OK = 200
_STOP_SECONDS = 20.0
_FIRST_VERSION = SettingsVersion(1)


class Fleet:
    """All the processes of one fleet, by name.

    The names are ``platform``, ``entry-0``, ``model-0`` and ``plain-0`` for the
    endpoint processes, and ``model-0-engine`` and ``plain-0-service`` for what
    stands beside them.
    """

    def __init__(
        self,
        plan: FleetPlan,
        roster: Roster,
        relays: RelayThread,
    ) -> None:
        self.plan = plan
        self.roster = roster
        self.relays = relays
        self.tree = msgspec.structs.replace(
            plan.tree(_FIRST_VERSION),
            endpoints=roster.endpoints,
        )

    @classmethod
    def from_plan(
        cls,
        plan: FleetPlan,
        folder: pathlib.Path,
        *,
        relayed: bool = True,
    ) -> Self:
        """Write all files of a fleet; nothing is started yet.

        Parameters
        ----------
        relayed
            Whether all packets between the processes pass a relay.
        """
        relays = RelayThread()
        builder = FleetBuilder.from_plan(plan, folder, relayed=relayed)
        return cls(plan, builder.build(), relays)

    async def start(self) -> None:
        """Start everything and return once callers are served."""
        self.relays.start()
        for name, route in self.roster.routes.items():
            self.relays.add(name, route)
        await self._start_standins()
        self.start_processes([*self.roster.endpoints, *self.roster.entries])
        await self._all(self.roster.entries, self.serves)
        await self._all(self.roster.entries, self.sees_all)

    async def stop(self) -> None:
        """End all processes that this fleet started."""
        for process in self.roster.processes.values():
            process.thaw()
            process.kill()
        self.relays.close()

    def start_processes(self, names: Sequence[str]) -> None:
        """Start processes; they may not be ready yet."""
        for name in names:
            self.process(name).start()

    def process(self, name: str) -> ManagedProcess:
        """Return a process of the fleet."""
        return self.roster.processes[name]

    def hooks(self, name: str) -> Hooks:
        """Return the test hooks of a stand-in."""
        return self.roster.hooks(name)

    def caller(self, workspace: int = 0) -> Caller:
        """Return a caller of one of the workspaces of the plan."""
        plan = self.plan.workspaces[workspace]
        entries = [self.roster.urls[name] for name in self.roster.entries]
        return Caller(CallerIdentity(plan.name, plan.api_key, entries))

    async def publish(self, tree: TreeNode) -> None:
        """Publish a settings tree under the version that it names."""
        self.tree = tree
        body = msgspec.json.encode(tree)
        await self.hooks(PLATFORM).publish(tree.version, body)

    def next_tree(self) -> TreeNode:
        """Return the tree last published, under the next version."""
        version = SettingsVersion(self.tree.version + 1)
        return msgspec.structs.replace(self.tree, version=version)

    async def serves(self, entry: str) -> bool:
        """Return whether an entry serves callers."""
        if not self.process(entry).alive:
            tail = self.process(entry).log_tail()
            raise ProcessError(f'{entry} has ended\n{tail}')
        url = self.roster.urls[entry]
        response = await get(f'{url}/healthz')
        return response.code == _OK

    async def sees_all(self, entry: str) -> bool:
        """Return whether an entry has a report of every endpoint."""
        url = self.roster.urls[entry]
        view = await read_view(url, self.plan.operator_key)
        return view.reported() == set(self.roster.endpoints)

    async def hooks_ready(self, name: str) -> bool:
        """Return whether a stand-in takes calls."""
        return await self.hooks(name).ready()

    async def wait_served(self, entry: str) -> None:
        """Return once an entry serves callers."""
        await self._all([entry], self.serves)

    async def restart(self, name: str) -> None:
        """Start an ended process again; return once it takes calls."""
        self.process(name).start()
        if name in self.roster.entries:
            await self.wait_served(name)
        elif name in self.roster.standins:
            await self._all([name], self.hooks_ready)

    async def end_gracefully(self, name: str) -> int:
        """Ask a process to end; return its exit status."""
        process = self.process(name)
        process.terminate()
        return await asyncio.to_thread(process.wait, _STOP_SECONDS)

    async def _start_standins(self) -> None:
        standins = self.roster.standins
        self.start_processes(standins)
        await self._all(standins, self.hooks_ready)
        await self.publish(self.tree)
        live = self.roster.live_instances()
        await self.hooks(PLATFORM).change_instances(live)

    async def _all(
        self,
        names: Sequence[str],
        holds: Callable[[str], Awaitable[bool]],
    ) -> None:
        waits = [
            wait_until(functools.partial(holds, name), f'{name} is ready')
            for name in names
        ]
        await asyncio.gather(*waits)


@contextlib.asynccontextmanager
async def running_fleet(fleet: Fleet) -> AsyncIterator[Fleet]:
    """Start a fleet and end it in any case."""
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
