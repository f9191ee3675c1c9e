"""Reports between entries about cold endpoints."""

import msgspec

from .endpoints import EndpointLifetime


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """How long an endpoint stays cold, and the requests sent to it recently.

    Attributes
    ----------
    endpoint
        Endpoint and its start.
    seconds_left
        Time for which the endpoint stays cold, in seconds.
    age
        Time since the endpoint reported this, in seconds.
    sends
        Requests sent to the endpoint, counted by age in intervals of a
        quarter of a second, the most recent interval first.
    """

    endpoint: EndpointLifetime
    seconds_left: float
    age: float
    sends: tuple[int, ...] = ()
