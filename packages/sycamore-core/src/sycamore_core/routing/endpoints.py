"""An endpoint as its registration describes it."""

import msgspec

from ..ids import EndpointId, ServiceId, ZoneId


class EndpointLifetime(msgspec.Struct, frozen=True, array_like=True):
    """One start of an endpoint, which may start again under its id."""

    endpoint: EndpointId
    started_ms: int


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One registration of an endpoint.

    Attributes
    ----------
    host, port
        Where it takes requests.
    slots
        Requests that it works on at once.
    is_leaving
        Whether it takes no new requests.
    started_ms
        Start of this lifetime, in milliseconds since 1970; 0 if not known.
        An endpoint may start again under the id that it had, and then knows
        nothing of before.
    """

    endpoint: EndpointId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    slots: int = 1
    is_leaving: bool = False
    started_ms: int = 0

    @property
    def lifetime(self) -> EndpointLifetime:
        """Return which start of the endpoint this is."""
        return EndpointLifetime(self.endpoint, self.started_ms)

    @property
    def address(self) -> str:
        """Return where it takes requests, as ``HOST:PORT``."""
        return f'{self.host}:{self.port}'
