"""Things that are to happen at points of virtual time, in their order."""

import heapq
import itertools
from collections.abc import Callable

_Action = Callable[..., None]


class Timeline:
    """A queue of actions by time; those of one moment keep their order.

    Examples
    --------
    >>> timeline = Timeline()
    >>> timeline.at(2, print, 'two')
    >>> timeline.at(1, print, 'one')
    >>> timeline.step()
    one
    True
    >>> timeline.now
    1
    """

    def __init__(self) -> None:
        self.now: float = 0
        self._entries: list[tuple[float, int, _Action, tuple[object, ...]]] = []
        self._order = itertools.count()

    def at(self, when: float, act: _Action, *args: object) -> None:
        """Have an action done at a time, in seconds."""
        heapq.heappush(self._entries, (when, next(self._order), act, args))

    def step(self) -> bool:
        """Do the next action; tell whether there was one."""
        if not self._entries:
            return False
        when, _, act, args = heapq.heappop(self._entries)
        self.now = when
        act(*args)
        return True
