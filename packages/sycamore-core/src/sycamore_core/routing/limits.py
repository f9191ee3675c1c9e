"""Reports between entries about the rate limits of endpoints."""

import msgspec

from .endpoints import EndpointLifetime


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit of an endpoint and the requests sent to it recently.

    Attributes
    ----------
    endpoint
        Endpoint and its start.
    per_second
        Requests per second that the endpoint accepts from all entries
        together; None if it no longer announces a limit.
    age
        Time since the endpoint announced the limit, in seconds.
    sends
        Requests sent to the endpoint, counted by age in intervals of a
        quarter of a second, the most recent interval first.
    """

    endpoint: EndpointLifetime
    per_second: float | None
    age: float
    sends: tuple[int, ...] = ()
