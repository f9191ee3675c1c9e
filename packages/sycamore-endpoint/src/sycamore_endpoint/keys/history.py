"""Since when this process has been the home of a key."""

from collections.abc import Callable, Sequence

import msgspec

#: Changes of the list that are remembered. An older one only makes keys
#: refused that might have run.
MAX_LISTINGS = 16

HomeOf = Callable[[Sequence[str]], str | None]


class Listing(msgspec.Struct, frozen=True):
    """The endpoints of the service, and when the list came into force here.

    Attributes
    ----------
    since
        Wall clock of this instance, in seconds since 1970.
    """

    names: tuple[str, ...]
    since: float


class HomeHistory:
    """The lists of endpoints that this process has held.

    Examples
    --------
    >>> history = HomeHistory('a')
    >>> history.take(('a', 'b'), wall=10)
    >>> history.take(('a',), wall=20)
    >>> history.home_since(lambda names: names[0])
    10
    >>> history.home_since(lambda names: names[-1])
    20
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.listings: list[Listing] = []

    def take(self, names: Sequence[str], wall: float) -> None:
        """Note the list of endpoints that is in force from now on."""
        listed = tuple(sorted(names))
        if self.listings and self.listings[-1].names == listed:
            return
        self.listings.append(Listing(listed, wall))
        self.listings = self.listings[-MAX_LISTINGS:]

    def lapse(self) -> None:
        """Forget all lists, since the view of the settings was not fresh.

        What goes wrong otherwise: the home of a key moves to another
        endpoint, which runs it, and back again, and this process sleeps or
        is cut off meanwhile. It would believe that it was the home all the
        time, and run the key a second time.
        """
        self.listings = []

    def home_since(self, home_of: HomeOf) -> float | None:
        """Return since when this process is the home, or None if it is not.

        Parameters
        ----------
        home_of
            Returns the home of the key among some endpoints.
        """
        since = None
        for listing in reversed(self.listings):
            if home_of(listing.names) != self.name:
                return since
            since = listing.since
        return since
