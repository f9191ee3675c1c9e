"""One request between its caller and the endpoints, from offer to close."""

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
