"""Bodies of the engine's protocol for orders."""

import msgspec
from sycamore_core.ids import FencingNumber, ModelId
from sycamore_core.states import EngineRole, OrderKind


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/orders``."""

    fencing: FencingNumber
    kind: OrderKind
    model: ModelId = ModelId('')
    adapter: str = ''
    version: str | int = ''
    role: EngineRole = EngineRole.MIXED


class LoadedModel(msgspec.Struct, frozen=True):
    """A model that the engine holds, and its version."""

    model: ModelId
    version: str | int


class StateBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /v1/state``."""

    fencing: FencingNumber
    models: tuple[LoadedModel, ...]
    adapters: tuple[str, ...]
    role: EngineRole
    busy: bool
