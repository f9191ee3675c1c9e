"""Directory of the endpoints that accept new requests.

An endpoint may announce that it is leaving, or its registration may be
removed. Requests sent to it afterwards would be cut off when it exits. Once
this process has seen either event, an older state that arrives later must not
bring the endpoint back into use. The directory remembers a leaving start
even if it is not listed: its registration may expire while the platform is
unreachable, and return in its state from before the announcement.

Registrations also expire while the platform is unreachable, because they
cannot be renewed. Dropping them at once would leave a service without
endpoints although all of them are healthy. The directory therefore keeps them
briefly after the platform has returned, so that live endpoints can register
again.

A platform may also be restored from an older copy of its store, which lists
endpoints that have been removed since.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..ids import EndpointId, ServiceId
from .endpoints import EndpointLifetime, EndpointRecord

#: Time for which a registration that is missing after an outage of the platform
#: is kept, in seconds. Live endpoints register again within two seconds.
REREGISTRATION_SECONDS = 2.2
#: Number of leaving or removed starts that are remembered. Fewer endpoints
#: leave during an outage of the platform, or during the seconds by which a
#: restored copy of its store is out of date.
_MAX_REMEMBERED_STARTS = 2000


class EndpointDirectory:
    """The registered endpoints, with their latest known state.

    Attributes
    ----------
    observers
        Called with each endpoint that was registered, removed or marked as
        leaving.

    Examples
    --------
    >>> directory = EndpointDirectory()
    >>> directory.put(EndpointRecord(
    ...     endpoint='e1', service='chat', host='10.0.0.1', port=80, zone='a',
    ... ))
    >>> [one.endpoint for one in directory.usable('chat')]
    ['e1']
    >>> directory.remove('e1')
    >>> directory.usable('chat')
    []
    """

    def __init__(self) -> None:
        self.records: dict[EndpointId, EndpointRecord] = {}
        self.missing_since: dict[EndpointId, float] = {}
        self.observers: list[Callable[[EndpointId], None]] = []
        self._removed = _RecentLifetimes()
        self._leaving = _RecentLifetimes()

    def usable(self, service: ServiceId) -> list[EndpointRecord]:
        """Return the endpoints of a service that accept new requests."""
        return [
            record
            for record in self.records.values()
            if record.service == service and not record.is_leaving
        ]

    def find(self, endpoint: EndpointId) -> EndpointRecord | None:
        """Return the record of an endpoint, if it is registered."""
        return self.records.get(endpoint)

    def put(self, record: EndpointRecord) -> None:
        """Store a registration, unless a newer start is known."""
        self.missing_since.pop(record.endpoint, None)
        self._removed.discard(record.lifetime)
        if record.is_leaving:
            self._leaving.add(record.lifetime)
        known = self.records.get(record.endpoint)
        if known is not None and known.started_ms > record.started_ms:
            return
        self.records[record.endpoint] = self._with_known_state(record)
        self._notify(record.endpoint)

    def mark_leaving(self, lifetime: EndpointLifetime) -> bool:
        """Record that an endpoint is leaving, whether it is listed or not.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        if lifetime in self._leaving:
            return False
        self._leaving.add(lifetime)
        known = self.records.get(lifetime.endpoint)
        if known is not None:
            self.records[lifetime.endpoint] = self._with_known_state(known)
            self._notify(lifetime.endpoint)
        return True

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an endpoint whose registration was removed."""
        known = self.records.pop(endpoint, None)
        self.missing_since.pop(endpoint, None)
        if known is not None:
            self._removed.add(known.lifetime)
            self._notify(endpoint)

    def replace(
        self,
        records: Iterable[EndpointRecord],
        now: float,
        *,
        after_outage: bool,
        is_old_copy: bool = False,
    ) -> None:
        """Replace all registrations by a complete list.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        after_outage
            Whether the platform was unreachable just before. Endpoints that
            are missing from the list are then kept for
            `REREGISTRATION_SECONDS`.
        is_old_copy
            Whether the list may be out of date. Endpoints that are known to
            have been removed are then ignored.
        """
        listed = {
            record.endpoint: record
            for record in records
            if not (is_old_copy and record.lifetime in self._removed)
        }
        for record in listed.values():
            self.put(record)
        for endpoint in self.records.keys() - listed.keys():
            if after_outage:
                self.missing_since.setdefault(endpoint, now)
            else:
                self.remove(endpoint)

    def expire(self, now: float) -> list[EndpointId]:
        """Remove and return the endpoints that did not register again."""
        expired = [
            endpoint
            for endpoint, since in self.missing_since.items()
            if now - since >= REREGISTRATION_SECONDS
        ]
        for endpoint in expired:
            self.remove(endpoint)
        return expired

    def _notify(self, endpoint: EndpointId) -> None:
        for observer in self.observers:
            observer(endpoint)

    def _with_known_state(self, record: EndpointRecord) -> EndpointRecord:
        """Return a registration with the known state of its start."""
        is_leaving = record.lifetime in self._leaving
        return msgspec.structs.replace(record, is_leaving=is_leaving)


class _RecentLifetimes:
    """Bounded set of starts of endpoints; evicts the oldest first."""

    def __init__(self) -> None:
        self._lifetimes: dict[EndpointLifetime, None] = {}

    def __contains__(self, lifetime: object) -> bool:
        return lifetime in self._lifetimes

    def add(self, lifetime: EndpointLifetime) -> None:
        self._lifetimes[lifetime] = None
        if len(self._lifetimes) > _MAX_REMEMBERED_STARTS:
            self._lifetimes.pop(next(iter(self._lifetimes)))

    def discard(self, lifetime: EndpointLifetime) -> None:
        self._lifetimes.pop(lifetime, None)
