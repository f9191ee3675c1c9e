"""How many connections of callers an entry accepts with its descriptors.

Load pattern: callers keep more connections than the entry may open
descriptors, and most of them are idle.

Without this, idle connections take all descriptors. Each request that is then
read needs one more, to an endpoint, and fails.
"""

#: Descriptors for everything but requests and other entries: listening sockets,
#: the platform, probes of the load balancer.
OWN_DESCRIPTORS = 64
#: Descriptors for each other entry: one connection in each direction.
PER_PEER = 2
#: Descriptors that each connection of a caller needs: its own, and one to the
#: endpoint of its request.
PER_CALLER = 2
#: Share of the connections below which the limit counts as over.
_OVER_SHARE = 0.9


class DescriptorLimit:
    """Decides whether to accept a connection by the number of open ones.

    Parameters
    ----------
    descriptors
        Descriptors that the process may open.

    Attributes
    ----------
    is_reached
        Whether the limit has been reached, and connections have not become
        clearly fewer since.

    Examples
    --------
    >>> limit = DescriptorLimit(descriptors=1024)
    >>> limit.max_callers(peers=0), limit.max_callers(peers=40)
    (480, 440)
    >>> limit.admit(open_callers=439, peers=40)
    True
    >>> limit.admit(open_callers=440, peers=40)
    False
    """

    def __init__(self, descriptors: int) -> None:
        self.descriptors = descriptors
        self.is_reached = False

    def max_callers(self, peers: int, lingering: int = 0) -> int:
        """Return how many connections of callers may be open, at least 1.

        Parameters
        ----------
        peers
            Number of other entries with which this one is connected.
        lingering
            Number of sockets that only wait for their callers to close.

        Examples
        --------
        >>> DescriptorLimit(descriptors=1024).max_callers(0, lingering=200)
        380
        """
        others = OWN_DESCRIPTORS + PER_PEER * peers + lingering
        return max(1, (self.descriptors - others) // PER_CALLER)

    def admit(self, open_callers: int, peers: int, lingering: int = 0) -> bool:
        """Return whether to accept one more connection."""
        most = self.max_callers(peers, lingering)
        is_admitted = open_callers < most
        if not is_admitted:
            self.is_reached = True
        elif open_callers < most * _OVER_SHARE:
            self.is_reached = False
        return is_admitted
