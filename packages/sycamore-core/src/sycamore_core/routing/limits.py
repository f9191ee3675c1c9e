"""What entries tell one another of endpoints that name a limit."""

import msgspec

from .endpoints import EndpointLifetime


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """A limit, and what was sent to its endpoint lately.

    Attributes
    ----------
    endpoint
        Which start of which endpoint.
    per_second
        Requests a second that it takes from all entries together; None if it
        names no limit any more.
    age
        Time since it said so, in seconds.
    sends
        Requests that were sent to it, by their age: the first number is that
        of the last quarter of a second, and so on.
    """

    endpoint: EndpointLifetime
    per_second: float | None
    age: float
    sends: tuple[int, ...] = ()
