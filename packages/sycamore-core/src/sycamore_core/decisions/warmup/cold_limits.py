"""The bound on requests to a cold endpoint, observed by all entries together.

Load pattern: a zone of 18 endpoints comes back at once under a burst of 180
requests per second. All of them look idle, so that 24 to 44 entries turn to
them at the same moment, and learn of each other's requests 20 to 50 ms later.
The network may be partitioned at that moment: until this is noticed, which
takes seconds, each part counts its own requests alone.

With equal shares of the bound, each of 44 entries may send one request per
second: most of the bound is unused where callers arrive at few entries, and
more than 47 entries cannot have a share. Entries therefore count what all of
them sent, as reported, and

- use less than half of the bound, so that two parts that are partitioned from
  each other stay within it without noticing the partition;
- use the fraction of the entries that they hear of, if that is less;
- keep a reserve for requests that are sent but not yet reported, space their
  own requests by the time that a report takes, and lengthen the window by a
  jitter of their own, so that they do not all send when capacity is free;
- wait for reports after they learn that an endpoint is cold.

Entries of other cells report directly to the endpoint's cell, but receive its
reports only once a second. Only a few of them use a cold endpoint, each at a
low rate.
"""

import math

from ...hashes import stable_fraction
from ...ids import EntryId
from ...routing import EndpointLifetime
from ..direct.recent_sends import AGE_BUCKET_SECONDS
from ..direct.shared_sends import SharedSends, send_jitter
from .cold_periods import ColdPeriods

#: Window over which the bound applies, in seconds.
WINDOW_SECONDS = 1.0
#: Largest part of the bound that entries use while none is lost: two parts of
#: a partitioned fleet each believe that they are alone.
MAX_FRACTION = 0.5
#: Part of the permitted requests that is kept free for requests that are not
#: reported yet. A burst of 180 requests per second sends 4 of them within the
#: 20 ms that a report takes, less than a fifth of half the bound.
RESERVED_FRACTION = 1 / 5
#: Minimum time between two requests of one entry to one cold endpoint, in
#: seconds: the time until its peers have received its report.
SPACING_SECONDS = 0.05
#: Time without requests after an endpoint is found to be cold, in seconds. The
#: reports of earlier requests arrive within it.
SETTLE_SECONDS = 0.1
#: Upper bound of the jitter and its increase for each further entry, in
#: seconds. The increase is the time that a report takes.
MAX_JITTER_SECONDS = 1.0
JITTER_PER_ENTRY_SECONDS = 0.02
#: Number of entries of other cells that use a cold endpoint, on average.
REMOTE_SENDERS = 3


def cold_bound(per_second: float, over: float, slack: float) -> float:
    """Return the requests that a cold endpoint may receive in any second.

    Parameters
    ----------
    per_second
        Rate that the endpoint tolerates.
    over, slack
        Factor and addition that the operator allows.

    Examples
    --------
    >>> cold_bound(28, over=1.5, slack=5)
    47.0
    """
    return per_second * over + slack


class ColdLimits:
    """Decides whether this entry may send a request to a cold endpoint.

    Attributes
    ----------
    sends
        Requests that all entries sent.
    periods
        Cold periods of endpoints.
    entry_count
        Number of entries of the own cell, including this one.
    fleet_count
        Number of entries of all cells, including lost entries.
    reporting_fraction
        Fraction of the entries that is not lost, from 0 to 1.
    """

    def __init__(
        self,
        entry: EntryId,
        sends: SharedSends,
        periods: ColdPeriods,
    ) -> None:
        self.entry = entry
        self.sends = sends
        self.periods = periods
        self.entry_count = 1
        self.fleet_count = 1
        self.reporting_fraction: float = 1

    def has_room(
        self,
        endpoint: EndpointLifetime,
        bound: float,
        now: float,
        *,
        is_own_cell: bool = True,
    ) -> bool:
        """Return whether a request may be sent to an endpoint now.

        Parameters
        ----------
        bound
            Requests that the endpoint may receive in any second.
        is_own_cell
            Whether the endpoint belongs to the own cell.
        """
        if not self.periods.is_cold(endpoint, now):
            return True
        if self._seconds_to_settle(endpoint, now):
            return False
        if self._own_count(endpoint, SPACING_SECONDS, now):
            return False
        if not is_own_cell and not self._may_send_remotely(endpoint, now):
            return False
        window = WINDOW_SECONDS + self._jitter(endpoint, now)
        sent = self.sends.count(endpoint, window, now)
        return sent < self.permitted(bound)

    def permitted(self, bound: float) -> int:
        """Return the known requests in a second up to which this entry sends.

        Examples
        --------
        >>> ColdLimits('entry-1', SharedSends(), ColdPeriods()).permitted(47)
        18
        """
        fraction = min(MAX_FRACTION, self.reporting_fraction)
        permitted = math.floor(bound * fraction * (1 - RESERVED_FRACTION))
        # One request of each entry is within the bound even if they all are
        # partitioned from one another.
        return max(permitted, int(self.fleet_count <= bound))

    def seconds_to_room(
        self,
        endpoint: EndpointLifetime,
        bound: float,
        now: float,
        *,
        is_own_cell: bool = True,
    ) -> float:
        """Return an estimate of the time until there is room, in seconds.

        Other requests in the meantime are not taken into account. The exact
        time would take ten times as long to compute, for each endpoint and
        each request that waits.
        """
        if self.has_room(endpoint, bound, now, is_own_cell=is_own_cell):
            return 0
        return max(AGE_BUCKET_SECONDS, self._seconds_to_settle(endpoint, now))

    def _may_send_remotely(
        self, endpoint: EndpointLifetime, now: float
    ) -> bool:
        if self._own_count(endpoint, WINDOW_SECONDS, now):
            return False
        draw = stable_fraction(f'{self.entry} {endpoint} remote')
        return draw * self.fleet_count < REMOTE_SENDERS

    def _seconds_to_settle(
        self, endpoint: EndpointLifetime, now: float
    ) -> float:
        """Return the time until the first request may be sent."""
        learned_at = self.periods.periods[endpoint].learned_at
        if now - learned_at > SETTLE_SECONDS + MAX_JITTER_SECONDS:
            return 0
        settled_at = learned_at + SETTLE_SECONDS + self._jitter(endpoint, now)
        return max(0, settled_at - now)

    def _own_count(
        self, endpoint: EndpointLifetime, seconds: float, now: float
    ) -> int:
        return self.sends.own.count_since(endpoint, now - seconds)

    def _jitter(self, endpoint: EndpointLifetime, now: float) -> float:
        max_jitter = min(
            MAX_JITTER_SECONDS,
            JITTER_PER_ENTRY_SECONDS * (self.entry_count - 1),
        )
        return send_jitter(self.entry, endpoint, max_jitter, now)
