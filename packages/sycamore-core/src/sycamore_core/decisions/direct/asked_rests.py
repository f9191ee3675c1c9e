"""Which endpoints have asked this entry for rest, and who goes first after it.

Load pattern: an endpoint is full, or takes nothing for some seconds, and turns
requests away with the time for which it wants no other from this entry. Callers
come by the dozen a second.

Without it: an endpoint that takes nothing has nothing to do, looks idle, and is
chosen first by each next request. Those that were turned away go on to another
endpoint, later and against the retry allowance.

A rest is a bound, not a cost: it holds whatever the others are worth, and no
answer to an earlier request ends it. After it one request goes first. Had all
that wait been sent, most would be turned away together by an endpoint that is
still full. A refusal comes within milliseconds; an endpoint that gives none has
taken the request, and others may follow.

The word is not told to peers. It was said to this entry alone; told, all would
leave the endpoint, and come back to it, at one moment.
"""

import msgspec

from ...routing import EndpointLifetime

#: Longest rest that is believed, in seconds. What asks for more is not used
#: until it starts anew.
LONGEST_REST = 86_400.0
#: Time after which a request that went first is taken not to be turned away, in
#: seconds.
FIRST_SECONDS = 0.1
#: Starts of endpoints that are remembered at most: several of each.
_MOST_REMEMBERED = 4000


class Rest(msgspec.Struct):
    """A rest that an endpoint asked for.

    Attributes
    ----------
    until
        Its end, on the monotonic clock, in seconds.
    first_at
        When a request was sent first after it; None before that.
    """

    until: float
    first_at: float | None = None


class AskedRests:
    """Rests that endpoints have asked one entry for.

    Examples
    --------
    >>> rests = AskedRests()
    >>> rests.said('e1', 3, now=10)
    >>> rests.takes('e1', now=12.9), rests.takes('e1', now=13)
    (False, True)
    >>> rests.sent('e1', now=13)
    >>> rests.takes('e1', now=13.05), rests.takes('e1', now=13.2)
    (False, True)
    """

    def __init__(self) -> None:
        self.rests: dict[EndpointLifetime, Rest] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint has asked for any."""
        return not self.rests

    def said(
        self,
        endpoint: EndpointLifetime,
        seconds: float,
        now: float,
    ) -> None:
        """Take it that an endpoint wants nothing for so long.

        A shorter rest does not end a longer one that it has asked for.
        """
        if not seconds:
            return
        until = now + min(LONGEST_REST, seconds)
        known = self.rests.pop(endpoint, None)
        if known is not None:
            until = max(until, known.until)
        self.rests[endpoint] = Rest(until)
        if len(self.rests) > _MOST_REMEMBERED:
            self._forget(now)

    def sent(self, endpoint: EndpointLifetime, now: float) -> None:
        """Note a request to any endpoint."""
        rest = self.rests.get(endpoint)
        if rest is not None and rest.first_at is None and now >= rest.until:
            rest.first_at = now

    def accepted(self, endpoint: EndpointLifetime) -> None:
        """Note that an endpoint has not turned a request away.

        It may have come before the rest: only after one it tells something.
        """
        rest = self.rests.get(endpoint)
        if rest is not None and rest.first_at is not None:
            self.rests.pop(endpoint)

    def is_resting(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether an endpoint wants nothing now."""
        rest = self.rests.get(endpoint)
        return rest is not None and now < rest.until

    def takes(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.seconds_left(endpoint, now) <= 0

    def seconds_left(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return when a request may be sent, in seconds from now."""
        rest = self.rests.get(endpoint)
        if rest is None:
            return 0
        if rest.first_at is None:
            return max(0, rest.until - now)
        return max(0, rest.first_at + FIRST_SECONDS - now)

    def _forget(self, now: float) -> None:
        """Drop the rests that are over, or else the oldest."""
        over = [one for one in self.rests if self.takes(one, now)]
        for endpoint in over or tuple(self.rests)[:1]:
            self.rests.pop(endpoint)
