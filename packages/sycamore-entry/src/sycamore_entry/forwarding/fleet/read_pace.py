"""When an entry asks the platform again.

Load pattern: endpoints by the hundred register within some seconds, or leave
one after the other. Each change ends the watch of every entry, and each watch
counts as a call.

Without it: what the platform gives grows more slowly than the fleet, and it
turns entries away once there are too many of them.
"""

import asyncio
import contextlib

from ..settings import CHANGE_SECONDS

#: Part of the time for a change for which an entry gathers what has changed
#: before it asks again. What it learns that late is still in force in time
#: where the next read fails once.
_GATHER_PART = 0.25
#: Calls a second that all entries make together while changes come one after
#: the other. Operators pay for each; an endpoint that is known half a second
#: later costs no caller anything.
_CALLS_PER_S = 35.0


class ReadPace:
    """How long watches wait, and pauses between them last.

    Attributes
    ----------
    change_seconds
        Time within which a change is to be in force. A watch waits as long
        for one: a connection may fall silent for good, which only the end of
        this time shows. Each watch counts as a call, so that it is not shorter.
    entries
        Number of entries that watch the platform, this one included.
    """

    def __init__(self, change_seconds: float = CHANGE_SECONDS) -> None:
        self.change_seconds = change_seconds
        self.entries = 1
        self._is_behind = asyncio.Event()

    @property
    def gather_seconds(self) -> float:
        """Return for how long changes are gathered.

        Examples
        --------
        >>> pace = ReadPace(change_seconds=4)
        >>> pace.entries = 7
        >>> pace.gather_seconds
        0.2
        >>> pace.entries = 350
        >>> pace.gather_seconds
        1.0
        """
        longest = self.change_seconds * _GATHER_PART
        return min(longest, self.entries / _CALLS_PER_S)

    def hurry(self) -> None:
        """End a pause: a peer has a newer configuration.

        Entries pause at different moments. The first to see a configuration
        tells the others, so that none of them learns of it later by its pause.
        """
        self._is_behind.set()

    async def gather(self) -> None:
        """Let more changes come together, unless a peer has newer ones."""
        self._is_behind.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.gather_seconds):
                await self._is_behind.wait()
