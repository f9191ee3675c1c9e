"""Until when each endpoint is cold.

Load pattern: a registration is written now and then, and dozens of entries
read it at different times, again after each outage, and possibly from an older
copy. Responses of the endpoint and reports of peers carry newer values.

If the value of each list counted from its receipt, an endpoint would be cold
again after each list. If the smallest remainder counted, an endpoint that
becomes cold again would get its usual rate and crash. The value that was
measured last therefore counts, and a registration only when it changes.
"""

import msgspec

from ...routing import EndpointLifetime

#: Longest cold time that counts, in seconds. Longer values are an error of
#: their writer, and would bound the endpoint for hours.
MAX_COLD_SECONDS = 60.0
#: Difference below which the report of a peer is the same information, in
#: seconds. Otherwise the delays of messages would add up while entries report
#: to one another, and the cold period would never end.
SAME_REPORT_SECONDS = 1.0
#: Time for which the end of a cold period is remembered, in seconds, so that
#: older reports of it are recognized and peers are told.
ENDED_RETENTION_SECONDS = 8.0
#: Number of endpoints whose last registered cold time is remembered.
MAX_REGISTERED = 4000


class ColdPeriod(msgspec.Struct, frozen=True):
    """One cold period, with times on the monotonic clock, in seconds.

    Attributes
    ----------
    ends_at
        End of the period.
    measured_at
        When the endpoint stated this.
    learned_at
        When this entry learned that the endpoint is cold.
    """

    ends_at: float
    measured_at: float
    learned_at: float


class ColdPeriods:
    """Cold periods of endpoints, as one entry knows them.

    Attributes
    ----------
    periods
        Latest cold period of each endpoint that was recently cold.

    Examples
    --------
    >>> periods = ColdPeriods()
    >>> periods.record('e1', 8, now=10)
    True
    >>> periods.seconds_left('e1', now=12)
    6
    >>> periods.record('e1', 0, now=13)
    False
    >>> periods.is_cold('e1', now=13)
    False
    """

    def __init__(self) -> None:
        self.periods: dict[EndpointLifetime, ColdPeriod] = {}
        self._registered: dict[EndpointLifetime, float | None] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint was cold recently."""
        return not self.periods

    def is_cold(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether an endpoint is cold."""
        period = self.periods.get(endpoint)
        return period is not None and now < period.ends_at

    def seconds_left(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return the remaining cold time, in seconds; 0 if there is none."""
        period = self.periods.get(endpoint)
        return 0 if period is None else max(0, period.ends_at - now)

    def record(
        self,
        endpoint: EndpointLifetime,
        seconds_left: float,
        now: float,
        age: float = 0,
    ) -> bool:
        """Record a remaining time; return whether the endpoint became cold.

        Parameters
        ----------
        seconds_left
            Remaining cold time now, in seconds.
        age
            Time since the endpoint stated it, in seconds.
        """
        was_cold = self.is_cold(endpoint, now)
        known = self.periods.get(endpoint)
        measured_at = now - max(0, age)
        if known is not None and measured_at < known.measured_at:
            return False
        if known is None and seconds_left <= 0:
            return False
        ends_at = now + min(MAX_COLD_SECONDS, max(0, seconds_left))
        learned_at = known.learned_at if known and was_cold else now
        self.periods[endpoint] = ColdPeriod(ends_at, measured_at, learned_at)
        return not was_cold and self.is_cold(endpoint, now)

    def apply_peer_report(
        self,
        endpoint: EndpointLifetime,
        seconds_left: float,
        age: float,
        now: float,
    ) -> bool:
        """Record the report of a peer; return whether this made it cold."""
        known = self.periods.get(endpoint)
        if known is not None:
            is_later = now - age > known.measured_at + SAME_REPORT_SECONDS
            change = abs(seconds_left - self.seconds_left(endpoint, now))
            if not is_later and change < SAME_REPORT_SECONDS:
                return False
        return self.record(endpoint, seconds_left, now, age)

    def apply_registration(
        self,
        endpoint: EndpointLifetime,
        seconds_left: float | None,
        now: float,
    ) -> bool:
        """Record a registered cold time; return whether this made it cold.

        The same registration may be listed again. It then states nothing new,
        as its time has been counted since it was first received.
        """
        is_known = endpoint in self._registered
        previous = self._registered.pop(endpoint, None)
        self._registered[endpoint] = seconds_left
        if len(self._registered) > MAX_REGISTERED:
            self._registered.pop(next(iter(self._registered)))
        if seconds_left is None or (is_known and previous == seconds_left):
            return False
        return self.record(endpoint, seconds_left, now)

    def has_registered(self, endpoint: EndpointLifetime) -> bool:
        """Return whether a registration of this start has been received."""
        return endpoint in self._registered

    def drop_ended(self, now: float) -> None:
        """Drop the periods whose end need not be remembered."""
        begin = now - ENDED_RETENTION_SECONDS
        ended = [
            endpoint
            for endpoint, period in self.periods.items()
            if max(period.ends_at, period.measured_at) < begin
        ]
        for endpoint in ended:
            self.periods.pop(endpoint)


def seconds_from_start(
    started_ms: int,
    cold_seconds: float,
    wall_now: float,
) -> float:
    """Return the remaining cold time of an endpoint that states none.

    The clocks of instances differ, so that the result never exceeds the whole
    cold time.

    Parameters
    ----------
    started_ms
        Start of the endpoint, in milliseconds since 1970; 0 if not known.
    cold_seconds
        Time for which the endpoint is cold after a start.
    wall_now
        Seconds since 1970.

    Examples
    --------
    >>> seconds_from_start(100_000, 8, wall_now=103)
    5.0
    >>> seconds_from_start(0, 8, wall_now=103)
    8
    """
    if not started_ms:
        return cold_seconds
    passed = wall_now - started_ms / 1000
    return min(cold_seconds, max(0, cold_seconds - passed))
