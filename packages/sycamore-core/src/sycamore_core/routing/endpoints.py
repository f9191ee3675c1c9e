"""Registrations of endpoints."""

import msgspec

from ..ids import EndpointId, ServiceId, ZoneId


class EndpointLifetime(msgspec.Struct, frozen=True, array_like=True):
    """One start of an endpoint, which may restart under the same id."""

    endpoint: EndpointId
    started_ms: int


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One registration of an endpoint.

    Attributes
    ----------
    host, port
        Address at which the endpoint accepts requests.
    slots
        Number of requests that the endpoint processes concurrently.
    is_leaving
        Whether the endpoint accepts no new requests.
    started_ms
        Start of this lifetime, in milliseconds since 1970; 0 if not known.
        An endpoint may restart under the same id and keeps no state across
        the restart.
    cold_left
        Time for which the endpoint stays cold, as its registration states, in
        seconds; None if it states none.
    """

    endpoint: EndpointId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    slots: int = 1
    is_leaving: bool = False
    started_ms: int = 0
    cold_left: float | None = None

    @property
    def lifetime(self) -> EndpointLifetime:
        """Return the endpoint and its start."""
        return EndpointLifetime(self.endpoint, self.started_ms)

    @property
    def address(self) -> str:
        """Return the address of the endpoint, as ``HOST:PORT``."""
        return f'{self.host}:{self.port}'
