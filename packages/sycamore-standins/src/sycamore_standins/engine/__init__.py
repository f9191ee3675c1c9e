"""A model engine: the pure model of one, and a server that runs it."""

from .memory import DuplicateError, EngineError, OutOfMemoryError
from .model import EngineModel
from .prefix_cache import CacheEvent
from .profile import EngineProfile
from .sequences import EngineLoad, SequenceRequest, SpanRequest, StepResult

__all__ = (
    'CacheEvent',
    'DuplicateError',
    'EngineError',
    'EngineLoad',
    'EngineModel',
    'EngineProfile',
    'OutOfMemoryError',
    'SequenceRequest',
    'SpanRequest',
    'StepResult',
)
