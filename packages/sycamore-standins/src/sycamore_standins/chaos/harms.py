"""What is done to a fleet in a round."""

import abc
import asyncio
import random
from typing import Self

from sycamore_core.ids import SettingsVersion

from ..engine.hook_bodies import EngineFaults
from ..fleet import Fleet
from ..platform import SettingsMode

_SHORTEST_SECONDS = 0.2
_LONGEST_SECONDS = 2.5
_PLATFORM = 'platform'
_RESETS = 4


class Harm(abc.ABC):
    """One thing that goes wrong, and comes right after a while."""

    def __init__(self, name: str, seconds: float) -> None:
        self.name = name
        self.seconds = seconds

    def __str__(self) -> str:
        """Return what a report says of it."""
        kind = type(self).__name__.lower()
        return f'{kind} {self.name} for {self.seconds:.1f} s'

    @classmethod
    def drawn(cls, fleet: Fleet, draw: random.Random) -> Self:
        """Return a harm to a random victim for a random time."""
        seconds = draw.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
        return cls(draw.choice(cls.victims(fleet)), seconds)

    @classmethod
    def victims(cls, fleet: Fleet) -> list[str]:
        """Return what can be harmed in this way."""
        return [*fleet.roster.endpoints, *fleet.roster.entries]

    @abc.abstractmethod
    async def strike(self, fleet: Fleet) -> None:
        """Do it, wait, and undo it."""


class Kill(Harm):
    """A process dies and is replaced."""

    @classmethod
    def victims(cls, fleet: Fleet) -> list[str]:
        """Return all processes, the platform's too."""
        return list(fleet.roster.processes)

    async def strike(self, fleet: Fleet) -> None:
        """Kill it; start another after a while."""
        fleet.process(self.name).kill()
        await asyncio.sleep(self.seconds)
        if not fleet.process(self.name).alive:
            await fleet.restart(self.name)


class Freeze(Harm):
    """A process is paused and wakes up late."""

    @classmethod
    def victims(cls, fleet: Fleet) -> list[str]:
        """Return all processes, the platform's too."""
        return list(fleet.roster.processes)

    async def strike(self, fleet: Fleet) -> None:
        """Pause it for a while."""
        fleet.process(self.name).freeze()
        await asyncio.sleep(self.seconds)
        fleet.process(self.name).thaw()


class Cut(Harm):
    """A process hears nobody, and what was sent to it comes late."""

    async def strike(self, fleet: Fleet) -> None:
        """Cut it off for a while."""
        others = [*fleet.roster.endpoints, *fleet.roster.entries]
        for sender in others:
            fleet.relays.cut(self.name, sender)
        await asyncio.sleep(self.seconds)
        for sender in others:
            fleet.relays.heal(self.name, sender)


class Partition(Harm):
    """A process and all others neither hear nor reach each other."""

    async def strike(self, fleet: Fleet) -> None:
        """Cut both ways for a while."""
        others = [*fleet.roster.endpoints, *fleet.roster.entries]
        fleet.relays.partition([self.name], others)
        await asyncio.sleep(self.seconds)
        fleet.relays.heal_all()


class Reset(Harm):
    """Connections to a process break, with what is under way on them."""

    async def strike(self, fleet: Fleet) -> None:
        """Break them a few times."""
        for _ in range(_RESETS):
            fleet.relays.reset(self.name)
            await asyncio.sleep(self.seconds / _RESETS)


class Misbehaviour(Harm):
    """An engine refuses calls, breaks streams and ends runs as failed."""

    @classmethod
    def victims(cls, fleet: Fleet) -> list[str]:
        """Return the engines."""
        return fleet.roster.engines

    async def strike(self, fleet: Fleet) -> None:
        """Let the next calls and streams of the engine go wrong."""
        faults = EngineFaults(failures=1, breaks=2, aborts=1)
        if fleet.process(self.name).alive:
            await fleet.hooks(self.name).misbehave(faults)


class OldSettings(Harm):
    """The settings service goes back in time."""

    @classmethod
    def victims(cls, fleet: Fleet) -> list[str]:
        """Return the platform."""
        return [_PLATFORM]

    async def strike(self, fleet: Fleet) -> None:
        """Show the first version for a while, under a new one."""
        hooks = fleet.hooks(self.name)
        await fleet.publish(fleet.next_tree())
        await hooks.settings_mode(SettingsMode.BACK, SettingsVersion(1))
        await asyncio.sleep(self.seconds)
        await hooks.settings_mode(SettingsMode.UP)


KINDS: tuple[type[Harm], ...] = (
    Kill,
    Kill,
    Freeze,
    Freeze,
    Cut,
    Partition,
    Reset,
    Misbehaviour,
    OldSettings,
)
