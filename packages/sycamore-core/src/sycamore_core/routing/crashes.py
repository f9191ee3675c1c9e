"""What entries tell one another of endpoints that crashed under a request."""

import msgspec

from ..ids import ContentDigest
from .endpoints import EndpointLifetime


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash of an endpoint while a request was there.

    Attributes
    ----------
    content
        The request, whatever its id.
    endpoint
        Which start of which endpoint.
    age
        Time since the crash, in seconds.
    had_just_begun
        Whether the request had run for a moment at most.
    is_cleared
        Whether the request has been answered since, so that it was not the
        cause.
    tries
        How often the request was tried after it had been held.
    try_age
        Time since the last of these, in seconds.
    """

    content: ContentDigest
    endpoint: EndpointLifetime
    age: float
    had_just_begun: bool = False
    is_cleared: bool = False
    tries: int = 0
    try_age: float = 0
