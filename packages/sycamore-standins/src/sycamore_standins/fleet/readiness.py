"""Whether the processes of a fleet are ready."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Sequence

from ..client import get
from .process import ProcessError
from .roster import Roster
from .views import read_view
from .waiting import wait_until

_OK = 200


class Readiness:
    """Asks the processes of a fleet whether they are ready."""

    def __init__(self, roster: Roster, operator_key: str) -> None:
        self.roster = roster
        self.operator_key = operator_key

    async def hooks_ready(self, name: str) -> bool:
        """Return whether a stand-in takes calls."""
        return await self.roster.hooks(name).ready()

    async def serves(self, entry: str) -> bool:
        """Return whether an entry serves callers."""
        process = self.roster.processes[entry]
        if not process.alive:
            tail = process.log_tail()
            raise ProcessError(f'{entry} has ended\n{tail}')
        url = self.roster.urls[entry]
        response = await get(f'{url}/healthz')
        return response.code == _OK

    async def sees_all(self, entry: str) -> bool:
        """Return whether an entry hears from every endpoint."""
        url = self.roster.urls[entry]
        view = await read_view(url, self.operator_key)
        return view.live() == set(self.roster.endpoints)

    async def wait_all(
        self,
        names: Sequence[str],
        holds: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Return once `holds` answers true for each of the names."""
        waits = [
            wait_until(functools.partial(holds, name), f'{name} is ready')
            for name in names
        ]
        await asyncio.gather(*waits)
