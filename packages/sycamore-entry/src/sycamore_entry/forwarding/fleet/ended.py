"""Finds lifetimes of endpoints that have ended, and ends what waits for them.

The end of a lifetime shows in the answers of its address, in the registrations
and in broken connections. Each of them may reach one entry only, so peers are
told.
"""

import abc
import contextlib
from collections.abc import Callable, Iterable, Iterator

from sycamore_core.clock import Clock
from sycamore_core.decisions.direct.failures import RECENT_ACTIVITY_SECONDS
from sycamore_core.decisions.late_checks import LateChecks
from sycamore_core.decisions.lifetimes import (
    EndedLifetimes,
    EndEvidence,
    LifetimeEnd,
    PeerFailureReports,
    RemovedLifetimes,
)
from sycamore_core.ids import EndpointId, PeerId
from sycamore_core.routing import (
    EndpointDirectory,
    EndpointLifetime,
    EndpointRecord,
)
from sycamore_core.telemetry import Log

#: Interval of the checks for silent endpoints, in seconds.
EXPIRE_INTERVAL_SECONDS = 0.25
#: Interval between two checks above which the entry was late, in seconds.
_LATE_SECONDS = 2 * EXPIRE_INTERVAL_SECONDS


class EndListener(abc.ABC):
    """Something that depends on lifetimes, such as an attempt."""

    @abc.abstractmethod
    def end_with(self, end: LifetimeEnd) -> None:
        """End because a lifetime has ended; further calls do nothing."""


class EndedEndpoints:
    """Collects evidence of ends, and notifies what depends on a lifetime.

    Attributes
    ----------
    ended
        The ends that are known.
    removed
        Lifetimes without a registration that may still run.
    peer_failures
        Endpoints that fail for peers.
    checks
        Tells whether this entry was late, so that what endpoints sent is
        unread.
    on_end
        Called with the id of an endpoint when one of its lifetimes ends.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        clock: Clock,
        log: Log,
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.log = log
        self.ended = EndedLifetimes()
        self.removed = RemovedLifetimes()
        self.peer_failures = PeerFailureReports()
        self.checks = LateChecks(_LATE_SECONDS)
        self.on_end: list[Callable[[EndpointId], None]] = []
        self._listeners: dict[EndpointLifetime, set[EndListener]] = {}
        self._has_news = False

    @contextlib.contextmanager
    def listening(
        self,
        listener: EndListener,
        lifetimes: Iterable[EndpointLifetime],
    ) -> Iterator[None]:
        """Notify a listener of the ends of lifetimes, past ones included.

        An end that only silence shows does not count if it is past: the
        endpoint may be reachable again.
        """
        lifetimes = tuple(lifetimes)
        for lifetime in lifetimes:
            self._listeners.setdefault(lifetime, set()).add(listener)
        try:
            self._notify_of_past_ends(listener, lifetimes)
            yield
        finally:
            for lifetime in lifetimes:
                self._remove_listener(listener, lifetime)

    def record_heard(self, lifetime: EndpointLifetime) -> None:
        """Record that an endpoint sent anything to this entry."""
        self.removed.record_heard(lifetime, self._now())
        self.ended.forget_uncertain(lifetime)

    def record_other_instance(
        self,
        record: EndpointRecord,
        instance: EndpointId,
    ) -> None:
        """Record that an instance answered for another one that was addressed.

        Parameters
        ----------
        record
            Endpoint that was addressed. It may have another address by now.
        instance
            Instance that answered; empty if it is not known.
        """
        if not instance or instance == record.endpoint:
            return
        registered = self.directory.find(record.endpoint)
        has_moved = (
            registered is not None
            and registered.lifetime == record.lifetime
            and registered.address != record.address
        )
        if not has_moved:
            self._end(LifetimeEnd(record.lifetime, EndEvidence.OTHER_INSTANCE))

    def record_lost_connection(self, lifetime: EndpointLifetime) -> None:
        """Record that an endpoint did not acknowledge what was sent to it.

        It has not ended if it sent something on another connection meanwhile:
        it may only have stopped to read one long request, which breaks the
        connection in the same way.
        """
        if not self._is_heard(lifetime):
            self._end(LifetimeEnd(lifetime, EndEvidence.CONNECTION_LOST))

    def record_registration(self, record: EndpointRecord) -> None:
        """Record a registration before the directory applies it."""
        self.removed.record_registration(record.lifetime)
        registered = self.directory.find(record.endpoint)
        if registered is not None and registered.lifetime == record.lifetime:
            return
        known = set(self._listeners)
        if registered is not None:
            known.add(registered.lifetime)
        for lifetime in known:
            if _is_older_start(lifetime, record.lifetime):
                self._end(LifetimeEnd(lifetime, EndEvidence.NEWER_START))

    def record_removal(self, endpoint: EndpointId) -> None:
        """Record a removed registration before the directory applies it.

        An endpoint that has announced that it leaves finishes its work without
        a registration, and may be silent while it reads a long prompt. If
        this entry was late, the next check ends the endpoint.
        """
        record = self.directory.find(endpoint)
        if record is None or record.is_leaving:
            return
        now = self._now()
        self.removed.record_removal(record.lifetime, now)
        if self.checks.is_in_time(now):
            self.end_silent()

    def end_silent(self) -> None:
        """End the removed lifetimes that have been silent for too long."""
        for end in self.removed.pop_ended(self._now()):
            self._end(end)

    def apply_peer_report(
        self,
        lifetimes: Iterable[EndpointLifetime],
        peer: PeerId,
    ) -> None:
        """Apply the report of a peer that lifetimes have ended.

        The report does not count for an endpoint that this entry has heard
        recently: the peer may have lost its own path to it. A report of a true
        end is repeated for longer than that.
        """
        for lifetime in lifetimes:
            if lifetime not in self.ended and not self._is_heard(lifetime):
                self._end(LifetimeEnd(lifetime, EndEvidence.PEER), peer)

    def is_replaced(self, lifetime: EndpointLifetime) -> bool:
        """Return whether another instance or a newer start is known."""
        return self.ended.is_certain(lifetime)

    def to_report(
        self,
        now: float,
        *,
        is_isolated: bool,
    ) -> tuple[EndpointLifetime, ...]:
        """Return the ends to report to peers."""
        return self.ended.to_report(now, is_isolated=is_isolated)

    def pop_news(self) -> bool:
        """Return whether there are new ends since the last call."""
        has_news = self._has_news
        self._has_news = False
        return has_news

    def _end(self, end: LifetimeEnd, peer: PeerId | None = None) -> None:
        lifetime = end.lifetime
        if self.ended.record(end, self._now()):
            self._has_news = True
            self.log.warning(
                'lifetime_ended',
                endpoint=lifetime.endpoint,
                started_ms=lifetime.started_ms,
                evidence=end.evidence,
                evidence_age=round(end.age, 3),
                peer=peer,
            )
        if end.evidence.is_certain:
            # Nothing may be sent to it while it is still registered.
            self.directory.mark_leaving(lifetime)
        for callback in self.on_end:
            callback(lifetime.endpoint)
        for listener in tuple(self._listeners.get(lifetime, ())):
            listener.end_with(end)

    def _notify_of_past_ends(
        self,
        listener: EndListener,
        lifetimes: Iterable[EndpointLifetime],
    ) -> None:
        for lifetime in lifetimes:
            registered = self.directory.find(lifetime.endpoint)
            if registered is not None and _is_older_start(
                lifetime, registered.lifetime
            ):
                listener.end_with(
                    LifetimeEnd(lifetime, EndEvidence.NEWER_START)
                )
            elif self.ended.is_certain(lifetime):
                listener.end_with(
                    LifetimeEnd(lifetime, EndEvidence.OTHER_INSTANCE)
                )

    def _is_heard(self, lifetime: EndpointLifetime) -> bool:
        """Return whether this entry has heard an endpoint recently."""
        return self.removed.was_heard_within(
            lifetime, RECENT_ACTIVITY_SECONDS, self._now()
        )

    def _remove_listener(
        self,
        listener: EndListener,
        lifetime: EndpointLifetime,
    ) -> None:
        listeners = self._listeners[lifetime]
        listeners.discard(listener)
        if not listeners:
            self._listeners.pop(lifetime)

    def _now(self) -> float:
        return self.clock.monotonic()


def _is_older_start(
    lifetime: EndpointLifetime,
    newer: EndpointLifetime,
) -> bool:
    """Return whether another lifetime is a later start of the same endpoint.

    A start of 0 is not known and may be the same.
    """
    is_same_endpoint = lifetime.endpoint == newer.endpoint
    return is_same_endpoint and 0 < lifetime.started_ms < newer.started_ms
