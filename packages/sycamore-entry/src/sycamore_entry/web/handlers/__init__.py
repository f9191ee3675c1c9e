"""HTTP handlers, one module for each kind of call."""

from .answers import AnswerHandler
from .operator import (
    AttainmentHandler,
    FleetHandler,
    RecordHandler,
    RecordsHandler,
)
from .plain import PlainCallHandler
from .requests import RequestsHandler
from .reservations import ReservationsHandler
from .status import HealthHandler, MetricsHandler, NotFoundHandler

__all__ = (
    'AnswerHandler',
    'AttainmentHandler',
    'FleetHandler',
    'HealthHandler',
    'MetricsHandler',
    'NotFoundHandler',
    'PlainCallHandler',
    'RecordHandler',
    'RecordsHandler',
    'RequestsHandler',
    'ReservationsHandler',
)
