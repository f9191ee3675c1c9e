"""Limits how often an entry reads the platform.

Load pattern: hundreds of endpoints register within a few seconds, or leave one
after another. Each change ends the watch of every entry, and each watch counts
as a call.

The capacity of the platform grows more slowly than the fleet. Without this
limit, it refuses entries once the fleet has too many of them.
"""

import asyncio
import contextlib

from sycamore_core.decisions.propagation import CellPlace, watch_seconds

from ..settings import CHANGE_SECONDS

#: Share of `change_seconds` for which an entry gathers changes before the next
#: read. A change is still in force in time if that read fails once.
_GATHER_SHARE = 0.25
#: Calls per second of all entries together while changes follow one another.
#: Operators pay for each call, and learning of an endpoint half a second later
#: has no effect on callers.
_CALLS_PER_S = 35.0


class ReadRateLimit:
    """Sets the length of watches and of the pauses between them.

    Attributes
    ----------
    change_seconds
        Time within which a change must be in force, in seconds.
    entries
        Number of entries that watch the platform, including this one.
    place
        Place of this entry among the live entries of its cell.
    """

    def __init__(self, change_seconds: float = CHANGE_SECONDS) -> None:
        self.change_seconds = change_seconds
        self.entries = 1
        self.place = CellPlace()
        self._pause_end = asyncio.Event()

    @property
    def gather_seconds(self) -> float:
        """Return for how long changes are gathered, in seconds.

        Examples
        --------
        >>> limit = ReadRateLimit(change_seconds=4)
        >>> limit.entries = 7
        >>> limit.gather_seconds
        0.2
        >>> limit.entries = 350
        >>> limit.gather_seconds
        1.0
        """
        longest = self.change_seconds * _GATHER_SHARE
        return min(longest, self.entries / _CALLS_PER_S)

    def watch_seconds(self, *, is_first: bool) -> float:
        """Return how long the next watch waits for a change, in seconds.

        Parameters
        ----------
        is_first
            Whether it follows a change, which all entries read together.
        """
        return watch_seconds(self.place, self.change_seconds, is_first=is_first)

    def end_pause(self) -> None:
        """End the pause because a peer has a newer configuration.

        Entries pause at different times. The first entry that sees a
        configuration reports it to the others, so that their pauses do not
        delay it.
        """
        self._pause_end.set()

    async def gather(self) -> None:
        """Wait for more changes, unless a peer has a newer configuration."""
        self._pause_end.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.gather_seconds):
                await self._pause_end.wait()
