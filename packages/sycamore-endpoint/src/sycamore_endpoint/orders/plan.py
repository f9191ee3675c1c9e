"""Decision on the next order to an engine, if any.

Load pattern: a new settings version names another model for a service of many
engines, while processes restart, are suspended, or have older settings.

Without this decision, a process that was suspended during a change would
switch its engine back to the old model, and all engines of a service would
load from the weight store at the same time.
"""

from collections.abc import Iterable

import msgspec
from sycamore_core.ids import EndpointId, FencingNumber, Incarnation, ModelId
from sycamore_core.states import OrderKind

#: Timeout of an order, in seconds. An engine that ignores fencing gets no order
#: until this time has passed since the start or a suspension of this process.
#: An order of an earlier process has taken effect by then and shows in the
#: engine's state.
ORDER_TIMEOUT_SECONDS = 60.0
#: Bits of the start time in a fencing number, enough for whole seconds until
#: 2514. With a settings version of up to 29 bits, the fencing number fits in a
#: signed 64-bit integer.
_START_BITS = 34
_NANOSECONDS = 1_000_000_000


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that the engine has loaded."""

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
    """Input of the decision on the next order.

    Attributes
    ----------
    state
        State of the engine, read after the last suspension of this process.
    wanted
        Model that the current settings name; empty if none.
    fencing
        Fencing number of this process under these settings.
    checks_fencing
        Whether the engine refuses an order with a lower number.
    awake_for
        Time since the start or the last suspension of this process, in
        seconds.
    turn_in
        Time until this endpoint may load from the weight store, in seconds.
    """

    state: EngineState
    wanted: ModelId
    fencing: FencingNumber
    checks_fencing: bool
    awake_for: float
    turn_in: float


def fencing_number(version: int, incarnation: Incarnation) -> FencingNumber:
    """Return a number that increases across processes without any storage.

    The settings version takes precedence over the start time. A process with
    older settings thus never supersedes one with newer settings, whichever
    started later.

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
    """Return the order to send now, or None."""
    loaded = {model.model for model in facts.state.models}
    if not facts.wanted or facts.wanted in loaded:
        return None
    if facts.state.busy or facts.state.fencing > facts.fencing:
        # A higher number comes from another process that has newer settings
        # or has replaced this process.
        return None
    if not facts.checks_fencing and facts.awake_for < ORDER_TIMEOUT_SECONDS:
        return None
    if facts.turn_in > 0:
        return None
    return Order(facts.fencing, OrderKind.LOAD_MODEL, facts.wanted)


def load_delay(
    endpoint: EndpointId,
    sharing: Iterable[EndpointId],
    load_seconds: float,
) -> float:
    """Return the delay after a new version before an endpoint may load.

    The endpoints that share the weight store load one after the other, in
    the order of their names. Each gets the time that one load takes at the
    full rate of the store. This needs no lock, only the same settings. The
    delay is in seconds.

    Examples
    --------
    >>> load_delay(EndpointId('b'), ['c', 'a', 'b'], 4)
    4
    """
    earlier = [name for name in sharing if name < endpoint]
    return len(earlier) * load_seconds
