"""The list of instances, which shows each change only after a lag."""

from collections.abc import Sequence

import msgspec
from sycamore_core.platform import InstanceEntry


class InstanceChange(msgspec.Struct, frozen=True):
    """Rows that replace the whole list, and when they show."""

    rows: tuple[InstanceEntry, ...]
    lag_seconds: float = 0


class InstanceList:
    """Rows by the time from which they are shown.

    Examples
    --------
    >>> instances = InstanceList()
    >>> instances.change(InstanceChange((InstanceEntry('a', 'tcp://'),), 5), 10)
    >>> len(instances.rows(14)), len(instances.rows(15))
    (0, 1)
    """

    def __init__(self) -> None:
        self.down = False
        self._changes: list[tuple[float, Sequence[InstanceEntry]]] = [(0, ())]

    def change(self, change: InstanceChange, now: float) -> None:
        """Replace the list, `lag_seconds` after `now`."""
        self._changes.append((now + change.lag_seconds, change.rows))
        self._changes.sort(key=_shown_from)

    def rows(self, now: float) -> Sequence[InstanceEntry]:
        """Return the list as it is shown at `now`."""
        shown = [rows for since, rows in self._changes if since <= now]
        return shown[-1]


def _shown_from(change: tuple[float, Sequence[InstanceEntry]]) -> float:
    return change[0]
