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
from .reconciler import OrderKeeper

__all__ = (
    'ORDER_TIMEOUT_SECONDS',
    'EngineState',
    'Order',
    'OrderFacts',
    'OrderKeeper',
    'fencing_number',
    'load_delay',
    'next_order',
)
