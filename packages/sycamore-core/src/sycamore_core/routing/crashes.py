"""Reports between entries about endpoints that crashed during a request."""

import math

import msgspec

from ..ids import TraitDigest
from .endpoints import EndpointLifetime


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash of an endpoint while it processed a request with a trait.

    Attributes
    ----------
    trait
        Digest of the request content, independent of the request id, or of a
        part of its prompt.
    endpoint
        Endpoint and its start.
    age
        Time since the crash, in seconds.
    had_just_begun
        Whether the request had only just started to run.
    is_cleared
        Whether a request with the trait has been answered since, which rules
        the trait out as the cause.
    tries
        Number of trials of the trait after its quarantine.
    try_age
        Time since the last trial, in seconds.
    is_abandoned
        Whether the entry had given the request up before the crash, so that it
        may have ended there earlier.
    has_output
        Whether the request has had output, at this endpoint or at any other
        since its first crash.
    demand_age
        Time since a request with the trait was last refused, in seconds;
        infinite if none is known.
    ended_tries
        Number of the last trial that is known to have ended.
    was_answered
        Whether the content was answered completely shortly before the crash,
        which makes it an unlikely cause.
    """

    trait: TraitDigest
    endpoint: EndpointLifetime
    age: float
    had_just_begun: bool = False
    is_cleared: bool = False
    tries: int = 0
    try_age: float = 0
    is_abandoned: bool = False
    has_output: bool = False
    demand_age: float = math.inf
    ended_tries: int = 0
    was_answered: bool = False
