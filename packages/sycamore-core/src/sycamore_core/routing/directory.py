"""Which endpoints of a service may be given new requests.

What goes wrong: an endpoint announces that it leaves, or its registration
vanishes, and requests sent to it later are cut off when it exits. Once this
process has seen either, no later sighting of an older state may bring the
endpoint back, or requests would go to it again. A start that leaves is
remembered whether it is listed or not: its registration may lapse while the
platform is away, and come back as it was before the announcement.

Registrations also vanish while the platform is away, as they cannot be
renewed. To drop them at once would leave a service without endpoints while
all of them are well; they are therefore kept for a moment after the platform
has come back, in which a living endpoint registers again.

A platform may also come back from an older copy of itself, which lists
endpoints that have gone meanwhile.
"""

from collections.abc import Iterable

import msgspec

from ..ids import EndpointId, ServiceId
from .endpoints import EndpointLifetime, EndpointRecord

#: How long a registration that is missing after an outage of the platform is
#: kept, in seconds. Living endpoints have registered again within two.
RETURN_SECONDS = 2.2
#: Starts of endpoints that are remembered once they leave, or are gone: more do
#: not leave within an outage of the platform, or within the seconds by which a
#: copy is older.
_MOST_REMEMBERED = 2000


class EndpointDirectory:
    """The endpoints that are registered, with the state seen last.

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
        self._gone = _Starts()
        self._leaving = _Starts()

    def usable(self, service: ServiceId) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new requests."""
        return [
            record
            for record in self.records.values()
            if record.service == service and not record.is_leaving
        ]

    def find(self, endpoint: EndpointId) -> EndpointRecord | None:
        """Return the record of an endpoint, if it is registered."""
        return self.records.get(endpoint)

    def put(self, record: EndpointRecord) -> None:
        """Take a registration, unless it is older than what is known."""
        self.missing_since.pop(record.endpoint, None)
        self._gone.forget(record.lifetime)
        if record.is_leaving:
            self._leaving.add(record.lifetime)
        known = self.records.get(record.endpoint)
        if known is not None and known.started_ms > record.started_ms:
            return
        self.records[record.endpoint] = self._as_known(record)

    def mark_leaving(self, lifetime: EndpointLifetime) -> bool:
        """Take it that an endpoint leaves, whether it is listed or not.

        Returns
        -------
        bool
            Whether that was news.
        """
        if lifetime in self._leaving:
            return False
        self._leaving.add(lifetime)
        known = self.records.get(lifetime.endpoint)
        if known is not None:
            self.records[lifetime.endpoint] = self._as_known(known)
        return True

    def remove(self, endpoint: EndpointId) -> None:
        """Drop an endpoint whose registration was removed."""
        known = self.records.pop(endpoint, None)
        self.missing_since.pop(endpoint, None)
        if known is not None:
            self._gone.add(known.lifetime)

    def replace(
        self,
        records: Iterable[EndpointRecord],
        now: float,
        *,
        after_outage: bool,
        is_old_copy: bool = False,
    ) -> None:
        """Take a whole list of registrations.

        Parameters
        ----------
        now
            Monotonic time, in seconds.
        after_outage
            Whether the platform was away just before: endpoints that are
            missing from the list are then kept for `RETURN_SECONDS`.
        is_old_copy
            Whether the list may name endpoints that have gone since: those
            that were seen to go stay away.
        """
        listed = {
            record.endpoint: record
            for record in records
            if not (is_old_copy and record.lifetime in self._gone)
        }
        for record in listed.values():
            self.put(record)
        for endpoint in self.records.keys() - listed.keys():
            if after_outage:
                self.missing_since.setdefault(endpoint, now)
            else:
                self.remove(endpoint)

    def expire(self, now: float) -> list[EndpointId]:
        """Drop the endpoints that did not register again; return them."""
        expired = [
            endpoint
            for endpoint, since in self.missing_since.items()
            if now - since >= RETURN_SECONDS
        ]
        for endpoint in expired:
            self.remove(endpoint)
        return expired

    def _as_known(self, record: EndpointRecord) -> EndpointRecord:
        """Return a registration with what is known of its start."""
        is_leaving = record.lifetime in self._leaving
        return msgspec.structs.replace(record, is_leaving=is_leaving)


class _Starts:
    """Starts of endpoints, of which the oldest are forgotten."""

    def __init__(self) -> None:
        self._known: dict[EndpointLifetime, None] = {}

    def __contains__(self, lifetime: object) -> bool:
        return lifetime in self._known

    def add(self, lifetime: EndpointLifetime) -> None:
        self._known[lifetime] = None
        if len(self._known) > _MOST_REMEMBERED:
            self._known.pop(next(iter(self._known)))

    def forget(self, lifetime: EndpointLifetime) -> None:
        self._known.pop(lifetime, None)
