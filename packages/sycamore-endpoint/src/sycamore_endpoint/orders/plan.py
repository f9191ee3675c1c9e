"""Which order an engine is to get now, if any.

Load pattern: a new settings version names another model for a service of many
engines, while processes restart, sleep, and hold older settings.

Without it: a process that slept through a change wakes and moves its engine
back, and all engines of a service load from the weight store at once.
"""

from collections.abc import Iterable

import msgspec
from sycamore_core.ids import EndpointId, FencingNumber, Incarnation, ModelId
from sycamore_core.states import OrderKind

#: Longest time that an order may take, in seconds; the call is given up after
#: it. An engine that ignores fencing gets no order before that time has
#: passed since our start or a pause, so that the order of an earlier process
#: has taken effect by then and is seen in the engine's state.
ORDER_SECONDS = 60.0
#: Bits of the start time in a fencing number: whole seconds until 2514. With
#: a settings version of up to 29 bits it fits a signed 64-bit number.
_START_BITS = 34
_NANOSECONDS = 1_000_000_000


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that the engine holds."""

    model: str
    version: str | int = ''


class EngineState(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/state``."""

    fencing: int = 0
    models: tuple[LoadedModel, ...] = ()
    busy: bool = False


class Order(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``."""

    fencing: FencingNumber
    kind: OrderKind
    model: ModelId


class OrderFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What is known when an order is considered.

    Attributes
    ----------
    state
        The engine's state, read after the last pause of this process.
    wanted
        Model that the settings in force name; empty if none.
    fencing
        Fencing number of this process under these settings.
    checks_fencing
        Whether the engine refuses an order with an older number.
    awake_for
        Time since the start or the last pause of this process, in seconds.
    turn_in
        Time until this endpoint's turn at the weight store, in seconds.
    """

    state: EngineState
    wanted: ModelId
    fencing: FencingNumber
    checks_fencing: bool
    awake_for: float
    turn_in: float


def fencing_number(version: int, incarnation: Incarnation) -> FencingNumber:
    """Return a number that grows over processes without any storage.

    A newer settings version counts first, so that a process with older
    settings never gets past one with newer ones, whichever started later.

    Examples
    --------
    >>> old = fencing_number(7, Incarnation(1_700_000_000_000_000_000))
    >>> old < fencing_number(7, Incarnation(1_700_000_001_000_000_000))
    True
    >>> fencing_number(6, Incarnation(1_800_000_000_000_000_000)) < old
    True
    """
    started = incarnation // _NANOSECONDS
    return FencingNumber((version << _START_BITS) | started)


def next_order(facts: OrderFacts) -> Order | None:
    """Return the order to give now, or None."""
    loaded = {model.model for model in facts.state.models}
    if not facts.wanted or facts.wanted in loaded:
        return None
    if facts.state.busy or facts.state.fencing > facts.fencing:
        # Another process has given an order with a higher number: it holds
        # newer settings, or has replaced this one.
        return None
    if not facts.checks_fencing and facts.awake_for < ORDER_SECONDS:
        return None
    if facts.turn_in > 0:
        return None
    return Order(facts.fencing, OrderKind.LOAD_MODEL, facts.wanted)


def turn_of(
    endpoint: EndpointId,
    sharing: Iterable[EndpointId],
    load_seconds: float,
) -> float:
    """Return how long after a new version an endpoint may load, in seconds.

    The endpoints that share the weight store load one after the other, in
    the order of their names, each for the time that one load takes at the
    store's whole rate. They need no lock for that, only the same settings.

    Examples
    --------
    >>> turn_of(EndpointId('b'), ['c', 'a', 'b'], 4)
    4
    """
    earlier = [name for name in sharing if name < endpoint]
    return len(earlier) * load_seconds
