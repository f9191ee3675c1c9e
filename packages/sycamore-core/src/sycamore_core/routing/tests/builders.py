"""Builders for registrations of endpoints."""

from ...ids import EndpointId, ServiceId, ZoneId
from .. import EndpointRecord

SERVICE = ServiceId('chat')


def record(name: str, started_ms: int, *, is_leaving: bool) -> EndpointRecord:
    return EndpointRecord(
        endpoint=EndpointId(name),
        service=SERVICE,
        host='10.0.0.1',
        port=80,
        zone=ZoneId('a'),
        started_ms=started_ms,
        is_leaving=is_leaving,
    )
