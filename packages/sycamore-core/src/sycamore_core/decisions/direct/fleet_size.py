"""Number of entries that share a limit of the whole fleet.

Load pattern: entries start, are cut off from one another and are added while
endpoints fail, and each uses its own part of an operator's limit.

Without this, an entry that has just started, or that has lost its peers, takes
itself for the only one and uses the whole limit, as all others do.
"""


class FleetSize:
    """The largest number of entries that one entry has known.

    The number does not decrease, because entries that are lost may still be
    active in a part of the network that this entry cannot reach. Reports need
    no order: the largest number is used.

    Attributes
    ----------
    largest
        Largest number of entries that was known, including this one.
    is_known
        Whether the entry has been in contact with the fleet.

    Examples
    --------
    >>> size = FleetSize()
    >>> size.divisor is None
    True
    >>> size.observe(4, is_discovered=True)
    >>> size.observe(1, is_discovered=False)
    >>> size.divisor
    4
    """

    def __init__(self) -> None:
        self.largest = 1
        self.is_known = False

    @property
    def divisor(self) -> int | None:
        """Return the number by which a limit is divided; None if unknown."""
        return self.largest if self.is_known else None

    def observe(self, entries: int, *, is_discovered: bool) -> None:
        """Record a number of entries.

        Parameters
        ----------
        entries
            Entries that are known, including this one and those that are lost.
        is_discovered
            Whether this entry has contact with the fleet, or is the only one.
        """
        self.largest = max(self.largest, entries)
        self.is_known = self.is_known or is_discovered
