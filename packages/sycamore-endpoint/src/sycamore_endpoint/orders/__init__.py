"""Orders to the engine, and how an old process is kept from giving one."""

from .keeper import OrderKeeper
from .plan import (
    ORDER_SECONDS,
    EngineState,
    Order,
    OrderFacts,
    fencing_number,
    next_order,
    turn_of,
)

__all__ = (
    'ORDER_SECONDS',
    'EngineState',
    'Order',
    'OrderFacts',
    'OrderKeeper',
    'fencing_number',
    'next_order',
    'turn_of',
)
