"""Exchanges: the handling of one request between caller and endpoints."""

from .attach import AttachExchange
from .call import CallerRequest
from .context import EntryContext
from .events import EndpointLost, ExchangeEvent
from .exchange import Exchange
from .registry import ExchangeRegistry

__all__ = (
    'AttachExchange',
    'CallerRequest',
    'EndpointLost',
    'EntryContext',
    'Exchange',
    'ExchangeEvent',
    'ExchangeRegistry',
)
