"""Reports between entries about engines that are slower than published."""

import msgspec

from .endpoints import EndpointLifetime


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    """How much slower an engine is than the cost figures of its service.

    Attributes
    ----------
    endpoint
        Endpoint and its start.
    slowdown
        Factor by which all times of the engine are longer.
    age
        Time since the measurement, in seconds.
    """

    endpoint: EndpointLifetime
    slowdown: float
    age: float
