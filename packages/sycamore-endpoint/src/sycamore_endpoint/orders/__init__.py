"""Orders to the engine, fenced against outdated processes."""

from .plan import (
    ORDER_TIMEOUT_SECONDS,
    EngineState,
    Order,
    OrderFacts,
    fencing_number,
    load_delay,
    next_order,
)
from .reconciler import OrderReconciler

__all__ = (
    'ORDER_TIMEOUT_SECONDS',
    'EngineState',
    'Order',
    'OrderFacts',
    'OrderReconciler',
    'fencing_number',
    'load_delay',
    'next_order',
)
