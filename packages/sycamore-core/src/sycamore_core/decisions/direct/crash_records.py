"""What is remembered of crashes, by request and by endpoint."""

from collections.abc import Iterable, Mapping

import msgspec

from ...ids import ContentDigest
from ...routing import CrashReport, EndpointLifetime

#: Crashes within this time, in seconds, of more than so many endpoints have
#: another cause than one request.
_MASS_SECONDS = 0.5
MOST_AT_ONCE = 5
#: Crashes of one content that are remembered at most: more change nothing.
_MOST_CRASHES = 6


class Crash(msgspec.Struct):
    """One crash under a request.

    Attributes
    ----------
    at
        When, on the monotonic clock, in seconds.
    """

    at: float
    had_just_begun: bool
    is_cleared: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Return whether the request is likely to be the cause."""
        return self.had_just_begun and not self.is_cleared


class CrashRecord(msgspec.Struct):
    """The crashes under one content.

    Attributes
    ----------
    news_at
        When anything of it was news, on the monotonic clock, in seconds.
    tries
        How often the content was tried after it had been held.
    tried_at
        When it was tried last, on the monotonic clock; None if it never was.
    """

    crashes: dict[EndpointLifetime, Crash] = msgspec.field(
        default_factory=dict,
    )
    news_at: float = 0
    tries: int = 0
    tried_at: float | None = None

    @property
    def last_at(self) -> float:
        """Return when an endpoint crashed last."""
        return max(crash.at for crash in self.crashes.values())

    @property
    def counted(self) -> int:
        """Return how many crashes count against the request."""
        return sum(not crash.is_cleared for crash in self.crashes.values())

    @property
    def suspicious(self) -> list[EndpointLifetime]:
        """Return the endpoints that it is likely to have crashed."""
        return [
            endpoint
            for endpoint, crash in self.crashes.items()
            if crash.is_suspicious
        ]

    def add(self, report: CrashReport, now: float) -> None:
        """Add a crash that is not known, if there is room for it.

        What goes wrong without room for new ones: a popular call, cleared of
        four crashes, would be taken for innocent of all that follow.
        """
        if len(self.crashes) >= _MOST_CRASHES and not self._drop_cleared():
            return
        self.crashes[report.endpoint] = Crash(
            at=now - report.age,
            had_just_begun=report.had_just_begun,
            is_cleared=report.is_cleared,
        )
        self.news_at = now

    def clear(self, endpoint: EndpointLifetime, now: float) -> None:
        """Note that the content was not the cause of a crash."""
        self.crashes[endpoint].is_cleared = True
        self.news_at = now

    def note_tries(self, tries: int, tried_at: float, now: float) -> None:
        """Note how often the content was tried, if that is news."""
        if tries > self.tries:
            self.tries = tries
            self.tried_at = tried_at
            self.news_at = now

    def _drop_cleared(self) -> bool:
        """Forget the oldest crash that does not count, if there is one."""
        cleared = [
            endpoint
            for endpoint, crash in self.crashes.items()
            if crash.is_cleared
        ]
        if not cleared:
            return False
        self.crashes.pop(min(cleared, key=self._crashed_at))
        return True

    def _crashed_at(self, endpoint: EndpointLifetime) -> float:
        return self.crashes[endpoint].at


class Suspects:
    """The contents that are likely to have crashed each endpoint."""

    def __init__(self) -> None:
        self._by_endpoint: dict[EndpointLifetime, set[ContentDigest]] = {}

    def add(self, content: ContentDigest, endpoint: EndpointLifetime) -> None:
        """Suspect a content of a crash."""
        self._by_endpoint.setdefault(endpoint, set()).add(content)

    def discard(
        self,
        content: ContentDigest,
        endpoint: EndpointLifetime,
    ) -> None:
        """Suspect a content of a crash no more."""
        suspects = self._by_endpoint.get(endpoint, set())
        suspects.discard(content)
        if not suspects:
            self._by_endpoint.pop(endpoint, None)

    def beside(
        self,
        content: ContentDigest,
        endpoints: Iterable[EndpointLifetime],
    ) -> set[ContentDigest]:
        """Return the other suspects of some crashes."""
        found: set[ContentDigest] = set()
        for endpoint in endpoints:
            found.update(self._by_endpoint.get(endpoint, ()))
        return found - {content}

    def share(self, endpoint: EndpointLifetime) -> float:
        """Return the share of each suspect in a crash."""
        return 1 / max(1, len(self._by_endpoint.get(endpoint, ())))


class MassCrash:
    """Notices that many endpoints crash at once."""

    def __init__(self) -> None:
        self._lately: dict[EndpointLifetime, float] = {}

    def is_one(self, endpoint: EndpointLifetime, now: float) -> bool:
        """Note a crash; return whether it is one of many at once."""
        begin = now - _MASS_SECONDS
        self._lately = {
            one: at for one, at in self._lately.items() if at >= begin
        }
        self._lately[endpoint] = now
        return len(self._lately) > MOST_AT_ONCE


def reports_of(
    records: Mapping[ContentDigest, CrashRecord],
    digests: Iterable[ContentDigest],
    now: float,
) -> tuple[CrashReport, ...]:
    """Return what peers are told of some contents."""
    return tuple(
        CrashReport(
            content=content,
            endpoint=endpoint,
            age=round(now - crash.at, 3),
            had_just_begun=crash.had_just_begun,
            is_cleared=crash.is_cleared,
            tries=records[content].tries,
            try_age=round(now - (records[content].tried_at or now), 3),
        )
        for content in digests
        for endpoint, crash in records[content].crashes.items()
    )
