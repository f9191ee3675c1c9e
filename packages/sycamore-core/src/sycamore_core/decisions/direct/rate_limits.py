"""How many requests endpoints get that name a limit.

Load pattern: an endpoint in need names a rate of about a request a second, and
says so in each answer. Entries by the dozen place requests by load.

Without it: an endpoint that asks for less looks idle and gets more.

The rate is one for all entries together, and less than one request in ten
seconds for each of them: a part of it for each would leave nearly all unused,
as callers come to one entry now and to another then. Entries therefore tell one
another what they have sent, and each sends while the sum of all leaves room.
Entries that do not hear all others use their part of the rate only.

Where all have more to send than the rate allows, all would send in the moment
in which there is room again, before any has heard of another. Each therefore
waits for a time of its own after that moment, which changes from turn to turn.
"""

import math
from collections.abc import Container, Iterable

import msgspec

from ...hashes import stable_part
from ...ids import EndpointId, EntryId, PeerId
from ...routing import EndpointLifetime, LimitReport
from .recent_sends import SLOT_SECONDS, SLOTS, HeardSends, RecentSends

#: How long a limit holds that no answer repeats, in seconds. An endpoint that
#: is used says it in each answer.
WORD_SECONDS = 30.0
#: Spans over which a rate is kept, in seconds: the longer one smooths nothing,
#: and the shorter one keeps requests from coming all at once.
WINDOWS = (2.0, 4.0)
#: Longest wait of an entry once there is room, in seconds, and what each entry
#: adds to it: about the time in which it hears what another has sent.
LONGEST_WAIT = 1.0
_WAIT_PER_ENTRY = 0.03
#: Time after which the entries wait in another order, in seconds.
_TURN_SECONDS = 4.0
#: Rate from which on a limit binds nobody, in requests a second.
_LARGEST_RATE = 1e6
#: Age of a word up to which it is told to peers that may not have it, in
#: seconds: at least one whole update is sent within it.
_NEWS_SECONDS = 1.2


class LimitWord(msgspec.Struct, frozen=True):
    """What an endpoint has said of its limit.

    Attributes
    ----------
    per_second
        Requests a second from all entries together; None if it names no limit
        any more.
    at
        When it said so, on the monotonic clock, in seconds.
    """

    per_second: float | None
    at: float


class RateLimits:
    """Limits that endpoints name, as one entry knows them.

    Attributes
    ----------
    words
        The latest of each endpoint that ever named a limit.
    own
        What this entry sent, to any endpoint.
    heard
        What peers sent to these endpoints.
    entries
        Entries that send to the same endpoints, this one included.
    part
        Part of the entries that is heard, between 0 and 1.

    Examples
    --------
    >>> limits = RateLimits('entry-1')
    >>> limits.said('e1', 0.5, now=10)
    True
    >>> limits.has_room('e1', now=10)
    True
    >>> limits.sent('e1', now=10)
    >>> limits.has_room('e1', now=11), limits.has_room('e1', now=14.1)
    (False, True)
    """

    def __init__(self, entry: EntryId) -> None:
        self.entry = entry
        self.entries = 1
        self.words: dict[EndpointLifetime, LimitWord] = {}
        self.heard: dict[EndpointLifetime, dict[PeerId, HeardSends]] = {}
        self.part: float = 1
        self.own = RecentSends()

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint names any."""
        return not self.words

    def said(
        self,
        endpoint: EndpointLifetime,
        per_second: float | None,
        now: float,
    ) -> bool:
        """Take what an answer says; return whether that is news.

        Parameters
        ----------
        per_second
            The limit; None if the answer names none.
        """
        known = self.limit(endpoint, now)
        if per_second is not None or endpoint in self.words:
            self.words[endpoint] = LimitWord(per_second, now)
        return per_second != known

    def sent(self, endpoint: EndpointLifetime, now: float) -> None:
        """Note a request of this entry to any endpoint.

        It may name a limit in its very next answer.
        """
        self.own.note(endpoint, now)

    def limit(self, endpoint: EndpointLifetime, now: float) -> float | None:
        """Return the limit in force; None if there is none."""
        word = self.words.get(endpoint)
        if word is None or now - word.at > WORD_SECONDS:
            return None
        return word.per_second

    def has_room(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Return whether a request may be sent now."""
        limit = self.limit(endpoint, now)
        if limit is None:
            return True
        rate = limit * self.part
        wait = self._wait(endpoint, now)
        return all(
            self._count(endpoint, window + wait, now) < _most(rate, window)
            for window in WINDOWS
        )

    def seconds_to_room(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return when a request may be sent if no other is before."""
        waits = (SLOT_SECONDS * slot for slot in range(SLOTS))
        fitting = (
            wait for wait in waits if self.has_room(endpoint, now + wait)
        )
        return next(fitting, max(WINDOWS))

    def hear(
        self,
        peer: PeerId,
        reports: Iterable[LimitReport],
        now: float,
    ) -> list[EndpointLifetime]:
        """Take what a peer says.

        Returns
        -------
        list
            The endpoints whose limit is another than before.
        """
        changed = []
        for report in reports:
            known = self.limit(report.endpoint, now)
            self._hear_word(report, now)
            if self.limit(report.endpoint, now) != known:
                changed.append(report.endpoint)
            by_peer = self.heard.setdefault(report.endpoint, {})
            by_peer[peer] = HeardSends(report.sends, now)
        return changed

    def reports(
        self,
        endpoints: Container[EndpointId],
        now: float,
    ) -> tuple[LimitReport, ...]:
        """Return what peers are to know of some endpoints."""
        return tuple(
            self._report(lifetime, now, self.own.by_age(lifetime, now))
            for lifetime in self.words
            if lifetime.endpoint in endpoints
        )

    def everything(self, now: float) -> tuple[LimitReport, ...]:
        """Return what peers are to know of all endpoints.

        Left out is what they know: an older word, where nothing was sent.
        """
        self._forget(now)
        found = []
        for lifetime, word in self.words.items():
            slots = self.own.by_age(lifetime, now)
            if any(slots) or now - word.at < _NEWS_SECONDS:
                found.append(self._report(lifetime, now, slots))
        return tuple(found)

    def summary(
        self,
        endpoints: Container[EndpointId],
        now: float,
        receiver: PeerId,
    ) -> tuple[LimitReport, ...]:
        """Return what all but the receiver sent to some endpoints."""
        return tuple(
            self._report(
                lifetime, now, self._all_slots(lifetime, now, receiver)
            )
            for lifetime in self.words
            if lifetime.endpoint in endpoints
        )

    def _wait(self, endpoint: EndpointLifetime, now: float) -> float:
        """Return how long after others' sends this entry sends, in seconds."""
        longest = min(LONGEST_WAIT, _WAIT_PER_ENTRY * (self.entries - 1))
        turn = int(now / _TURN_SECONDS)
        return longest * stable_part(f'{self.entry} {endpoint} {turn}')

    def _hear_word(self, report: LimitReport, now: float) -> None:
        known = self.words.get(report.endpoint)
        at = now - report.age
        if known is None or at > known.at:
            self.words[report.endpoint] = LimitWord(report.per_second, at)

    def _count(
        self,
        endpoint: EndpointLifetime,
        seconds: float,
        now: float,
    ) -> int:
        own = self.own.since(endpoint, now - seconds)
        heard = self.heard.get(endpoint, {}).values()
        return own + sum(one.within(seconds, now) for one in heard)

    def _report(
        self,
        endpoint: EndpointLifetime,
        now: float,
        slots: list[int],
    ) -> LimitReport:
        word = self.words[endpoint]
        age = round(now - word.at, 3)
        return LimitReport(endpoint, word.per_second, age, tuple(slots))

    def _all_slots(
        self,
        endpoint: EndpointLifetime,
        now: float,
        left_out: PeerId,
    ) -> list[int]:
        """Return the sends of all entries that are heard but one."""
        told = [self.own.by_age(endpoint, now)]
        for peer, heard in self.heard.get(endpoint, {}).items():
            if peer != left_out:
                told.append(heard.aged(now))
        return [sum(slot) for slot in zip(*told, strict=True)]

    def _forget(self, now: float) -> None:
        """Drop words that no answer has repeated, and what was sent then."""
        old = [
            endpoint
            for endpoint, word in self.words.items()
            if now - word.at > WORD_SECONDS
        ]
        for endpoint in old:
            self.words.pop(endpoint)
            self.heard.pop(endpoint, None)


def _most(rate: float, window: float) -> int:
    """Return how many requests a rate allows in a span.

    One in the longest span is always sent: by its answer is known when the
    limit has ended.
    """
    return max(1, math.floor(min(_LARGEST_RATE, rate) * window))
