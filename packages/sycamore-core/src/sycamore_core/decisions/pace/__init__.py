"""How fast each engine is, measured by the events of its streams."""

from .slowdowns import EngineSlowdowns

__all__ = ('EngineSlowdowns',)
