"""Time since which this process has been the home of a key."""

from collections.abc import Callable, Sequence

import msgspec

#: Number of endpoint lists kept. Without the older ones, some keys that could
#: run are refused, which is safe.
MAX_SNAPSHOTS = 16

HomeFunction = Callable[[Sequence[str]], str | None]


class EndpointSnapshot(msgspec.Struct, frozen=True):
    """List of the service's endpoints and the time it came into force here.

    Attributes
    ----------
    since
        Wall clock of this instance, in seconds since 1970.
    """

    names: tuple[str, ...]
    since: float


class HomeHistory:
    """The endpoint lists that were in force at this process.

    Examples
    --------
    >>> history = HomeHistory('a')
    >>> history.record(('a', 'b'), wall=10)
    >>> history.record(('a',), wall=20)
    >>> history.home_since(lambda names: names[0])
    10
    >>> history.home_since(lambda names: names[-1])
    20
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.snapshots: list[EndpointSnapshot] = []

    def record(self, names: Sequence[str], wall: float) -> None:
        """Record the endpoint list that is in force from now on."""
        listed = tuple(sorted(names))
        if self.snapshots and self.snapshots[-1].names == listed:
            return
        self.snapshots.append(EndpointSnapshot(listed, wall))
        self.snapshots = self.snapshots[-MAX_SNAPSHOTS:]

    def clear(self) -> None:
        """Drop all lists, since the view of the settings was not fresh.

        Otherwise a key could run twice: while this process is suspended or
        disconnected, the home of the key moves to another endpoint, which
        runs it, and back. This process would still count itself as the home
        for the whole time.
        """
        self.snapshots = []

    def home_since(self, home_of: HomeFunction) -> float | None:
        """Return when this process became the home, or None if it is not.

        Parameters
        ----------
        home_of
            Returns the home of the key among the given endpoints.
        """
        since = None
        for snapshot in reversed(self.snapshots):
            if home_of(snapshot.names) != self.name:
                return since
            since = snapshot.since
        return since
