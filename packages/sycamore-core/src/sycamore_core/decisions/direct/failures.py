"""Which endpoints fail, by own experience and by word of other entries.

Load pattern: a sixth of the engines of a zone fall silent at once, and stay
registered for some seconds. Thirteen entries place turns there.

Without it: each entry finds out by itself, and again each time that an engine
has rested. A turn that finds out waits for 0.8 s and is late; thirteen entries
lose thirteen turns at each silent engine and rest.

An endpoint rests after a failure, longer each time in a row. Peers are told,
and leave it alone for the shortest rest, unless it has answered them lately.
An entry for which many endpoints fail is most likely cut off itself, and says
nothing.
"""

from collections.abc import Iterable

import msgspec

from ...ids import EndpointId

#: How long a failure keeps work away from an endpoint, in seconds: the first
#: time and, doubled each time in a row, at most.
FIRST_REST = 0.4
LONGEST_REST = 4.0
#: Endpoints of which an entry tells at most. One that cannot reach more than
#: these is more likely at fault itself, and would send all others away from
#: endpoints that are well.
MOST_TOLD = 6
#: Age up to which an own sign of life outweighs a peer's word, in seconds: a
#: turn that waits for a silent engine began to do so within it.
ALIVE_SECONDS = 1.0


class FailureStreak(msgspec.Struct):
    """Failures in a row of one endpoint."""

    failures: int = 0
    rests_until: float = 0


class FailureBook:
    """Failures of endpoints, as one entry knows them.

    Attributes
    ----------
    streaks
        Own failures in a row.
    warned_until
        Until when endpoints are left alone by word of peers.
    alive_at
        When each endpoint last sent anything to this entry, on the monotonic
        clock, in seconds.

    Examples
    --------
    >>> book = FailureBook()
    >>> book.failed('e1', now=10)
    >>> book.is_resting('e1', now=10.3), book.is_resting('e1', now=10.5)
    (True, False)
    """

    def __init__(self) -> None:
        self.streaks: dict[EndpointId, FailureStreak] = {}
        self.warned_until: dict[EndpointId, float] = {}
        self.alive_at: dict[EndpointId, float] = {}

    def failed(self, endpoint: EndpointId, now: float) -> None:
        """Note that an attempt at an endpoint broke."""
        streak = self.streaks.setdefault(endpoint, FailureStreak())
        rest = min(LONGEST_REST, FIRST_REST * 2**streak.failures)
        streak.failures += 1
        streak.rests_until = now + rest

    def answered(self, endpoint: EndpointId) -> None:
        """Note that an endpoint works."""
        self.streaks.pop(endpoint, None)
        self.warned_until.pop(endpoint, None)

    def sent_something(self, endpoint: EndpointId, now: float) -> None:
        """Note a sign of life of an endpoint."""
        self.alive_at[endpoint] = now

    def is_doubtful(self, endpoint: EndpointId) -> bool:
        """Return whether attempts at an endpoint failed one after another."""
        streak = self.streaks.get(endpoint)
        return streak is not None and streak.failures > 1

    def is_resting(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint is to be left alone."""
        is_warned = now < self.warned_until.get(endpoint, 0)
        return is_warned or self._rests(endpoint, now)

    def to_tell(self, now: float) -> tuple[EndpointId, ...]:
        """Return of which endpoints peers are to be told."""
        resting = [one for one in self.streaks if self._rests(one, now)]
        return tuple(resting) if len(resting) <= MOST_TOLD else ()

    def hear(
        self,
        endpoints: Iterable[EndpointId],
        now: float,
    ) -> list[EndpointId]:
        """Take it from a peer that endpoints fail.

        Returns
        -------
        list
            Those that are left alone from now on and were not before.
        """
        believed = [one for one in endpoints if not self._lives(one, now)]
        found = [one for one in believed if not self.is_resting(one, now)]
        for endpoint in believed:
            self.warned_until[endpoint] = now + FIRST_REST
        return found

    def _lives(self, endpoint: EndpointId, now: float) -> bool:
        alive_at = self.alive_at.get(endpoint)
        return alive_at is not None and now - alive_at <= ALIVE_SECONDS

    def _rests(self, endpoint: EndpointId, now: float) -> bool:
        streak = self.streaks.get(endpoint)
        return streak is not None and now < streak.rests_until
