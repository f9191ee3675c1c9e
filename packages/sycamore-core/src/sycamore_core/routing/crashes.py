"""Reports between entries about endpoints that crashed during a request."""

import msgspec

from ..ids import ContentDigest
from .endpoints import EndpointLifetime


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash of an endpoint while it processed a request.

    Attributes
    ----------
    content
        Digest of the request content, independent of the request id.
    endpoint
        Endpoint and its start.
    age
        Time since the crash, in seconds.
    had_just_begun
        Whether the request had only just started to run.
    is_cleared
        Whether the request has been answered since, which rules it out as
        the cause.
    tries
        Number of trials of the request after its quarantine.
    try_age
        Time since the last trial, in seconds.
    is_abandoned
        Whether the entry had given the request up before the crash, so that it
        may have ended there earlier.
    has_output
        Whether the request has had output, at this endpoint or at any other
        since its first crash.
    """

    content: ContentDigest
    endpoint: EndpointLifetime
    age: float
    had_just_begun: bool = False
    is_cleared: bool = False
    tries: int = 0
    try_age: float = 0
    is_abandoned: bool = False
    has_output: bool = False
