"""Backoffs that endpoints request from this entry, and probes after them.

Load pattern: an endpoint is full, or accepts nothing for some seconds. It
refuses requests and states for how long it wants no further request from this
entry. Dozens of requests arrive per second.

Without this, an endpoint that accepts nothing has no work, looks idle, and is
chosen first for each following request. The refused requests are retried at
another endpoint, which delays them and consumes the retry budget.

A backoff is a hard bound and not a cost: the entry sends the endpoint no
request until the backoff ends, even if every other endpoint is a worse choice.
An answer to an earlier request does not end the backoff. After the backoff the
entry sends one probe request first. If all waiting requests were sent at once,
an endpoint that is still full would refuse most of them. An endpoint refuses
within milliseconds; if no refusal arrives, the endpoint has accepted the probe
and other requests may follow.

Backoffs are not reported to peers. The endpoint requested the backoff from this
entry only. If all entries applied it, all of them would stop sending to the
endpoint at one moment, and all would start again at one later moment.
"""

import msgspec

from ...routing import EndpointLifetime

#: Upper bound of a backoff, in seconds. An endpoint that requests more is not
#: expected back before it restarts.
MAX_BACKOFF_SECONDS = 86_400.0
#: Time after which a probe counts as accepted if it was not refused, in
#: seconds.
PROBE_TIMEOUT_SECONDS = 0.1
#: Upper bound of the number of endpoint lifetimes that are stored. It allows
#: for several lifetimes of each endpoint.
_MAX_REMEMBERED = 4000


class RequestedBackoff(msgspec.Struct):
    """A backoff that an endpoint requested.

    Attributes
    ----------
    until
        End of the backoff, on the monotonic clock, in seconds.
    probe_sent_at
        When the first request after the backoff was sent, on the monotonic
        clock, in seconds; None if no request was sent since.
    """

    until: float
    probe_sent_at: float | None = None


class RequestedBackoffs:
    """Backoffs that endpoints requested from one entry.

    Attributes
    ----------
    backoffs
        By endpoint lifetime, the least recently requested first.

    Examples
    --------
    >>> backoffs = RequestedBackoffs()
    >>> backoffs.record_request('e1', 3, now=10)
    >>> backoffs.accepts('e1', now=12.9), backoffs.accepts('e1', now=13)
    (False, True)
    >>> backoffs.record_send('e1', now=13)
    >>> backoffs.accepts('e1', now=13.05), backoffs.accepts('e1', now=13.2)
    (False, True)
    """

    def __init__(self) -> None:
        self.backoffs: dict[EndpointLifetime, RequestedBackoff] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no backoff is stored."""
        return not self.backoffs

    def record_request(
        self,
        endpoint: EndpointLifetime,
        seconds: float,
        now: float,
    ) -> None:
        """Record that an endpoint requests a backoff.

        A shorter backoff does not end a longer one that is in force.

        Parameters
        ----------
        seconds
            Length of the backoff.
        """
        if not seconds:
            return
        until = now + min(MAX_BACKOFF_SECONDS, seconds)
        previous = self.backoffs.pop(endpoint, None)
        if previous is not None:
            until = max(until, previous.until)
        self.backoffs[endpoint] = RequestedBackoff(until)
        if len(self.backoffs) > _MAX_REMEMBERED:
            self._prune(now)

    def record_send(self, endpoint: EndpointLifetime, now: float) -> None:
        """Record that a request is sent, with or without a backoff.

        The first request after a backoff is the probe.
        """
        backoff = self.backoffs.get(endpoint)
        if (
            backoff is not None
            and backoff.probe_sent_at is None
            and now >= backoff.until
        ):
            backoff.probe_sent_at = now

    def record_acceptance(self, endpoint: EndpointLifetime) -> None:
        """Record that an endpoint did not refuse a request.

        This ends a backoff only if its probe was sent. Otherwise the accepted
        request may have been sent before the backoff began.
        """
        backoff = self.backoffs.get(endpoint)
        if backoff is not None and backoff.probe_sent_at is not None:
            self.backoffs.pop(endpoint)

    def is_backing_off(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether a backoff of an endpoint is in force."""
        backoff = self.backoffs.get(endpoint)
        return backoff is not None and now < backoff.until

    def accepts(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return self.seconds_left(endpoint, now) <= 0

    def seconds_left(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return the time until a request may be sent, in seconds."""
        backoff = self.backoffs.get(endpoint)
        if backoff is None:
            return 0
        if backoff.probe_sent_at is None:
            return max(0, backoff.until - now)
        return max(0, backoff.probe_sent_at + PROBE_TIMEOUT_SECONDS - now)

    def _prune(self, now: float) -> None:
        """Drop the backoffs that are over; if there is none, the oldest."""
        expired = [
            endpoint
            for endpoint in self.backoffs
            if self.accepts(endpoint, now)
        ]
        for endpoint in expired or tuple(self.backoffs)[:1]:
            self.backoffs.pop(endpoint)
