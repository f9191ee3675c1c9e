"""Starts, harms and stops a whole fleet."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Sequence
from typing import Self

import msgspec
from sycamore_core.ids import SettingsVersion
from sycamore_core.settings.tree import TreeNode

from ..caller import Caller, CallerIdentity
from ..engine.hook_bodies import EngineFaults
from ..plain.behaviour import Behaviour
from ..platform import SettingsMode
from ..relay import RelayThread
from .builder import FleetBuilder
from .hooks import Hooks
from .plan import FleetPlan
from .process import ManagedProcess
from .readiness import Readiness
from .roster import PLATFORM, Roster

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
        self.readiness = Readiness(roster, plan.operator_key)
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
        await self.readiness.wait_all(
            self.roster.entries, self.readiness.serves
        )
        await self.readiness.wait_all(
            self.roster.entries, self.readiness.sees_all
        )

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

    async def wait_served(self, entry: str) -> None:
        """Return once an entry serves callers."""
        await self.readiness.wait_all([entry], self.readiness.serves)

    async def restart(self, name: str) -> None:
        """Start an ended process again; return once it takes calls."""
        self.process(name).start()
        if name in self.roster.entries:
            await self.wait_served(name)
        elif name in self.roster.standins:
            await self.readiness.wait_all([name], self.readiness.hooks_ready)
        if name == PLATFORM:
            await self._fill_platform()

    async def restore(self) -> None:
        """Let everything run, heal all cuts and end all misbehaviour."""
        self.relays.heal_all()
        for process in self.roster.processes.values():
            process.thaw()
        for name, process in self.roster.processes.items():
            if not process.alive:
                await self.restart(name)
        await self.readiness.wait_all(
            self.roster.standins, self.readiness.hooks_ready
        )
        await self._behave_well()
        await self.readiness.wait_all(
            self.roster.entries, self.readiness.serves
        )
        await self.readiness.wait_all(
            self.roster.entries, self.readiness.sees_all
        )

    async def end_gracefully(self, name: str) -> int:
        """Ask a process to end; return its exit status."""
        process = self.process(name)
        process.terminate()
        return await asyncio.to_thread(process.wait, _STOP_SECONDS)

    async def _behave_well(self) -> None:
        await self.hooks(PLATFORM).settings_mode(SettingsMode.UP)
        live = self.roster.live_instances()
        await self.hooks(PLATFORM).change_instances(live)
        if self.tree.endpoints != self.roster.endpoints:
            tree = self.next_tree()
            tree = msgspec.structs.replace(
                tree,
                endpoints=self.roster.endpoints,
            )
            await self.publish(tree)
        for engine in self.roster.engines:
            await self.hooks(engine).misbehave(EngineFaults())
        for service in self.roster.plain_services:
            await self.hooks(service).behave(Behaviour())

    async def _start_standins(self) -> None:
        standins = self.roster.standins
        self.start_processes(standins)
        await self.readiness.wait_all(standins, self.readiness.hooks_ready)
        await self._fill_platform()

    async def _fill_platform(self) -> None:
        await self.publish(self.tree)
        live = self.roster.live_instances()
        await self.hooks(PLATFORM).change_instances(live)


@contextlib.asynccontextmanager
async def running_fleet(fleet: Fleet) -> AsyncIterator[Fleet]:
    """Start a fleet and end it in any case."""
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
