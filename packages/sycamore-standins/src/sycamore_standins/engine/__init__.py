"""A model engine: the pure model of one, and a server that runs it."""

from .model import DuplicateError, EngineModel, OutOfMemoryError
from .prefix_cache import CacheEvent
from .profile import EngineProfile
from .sequences import EngineLoad, SequenceRequest, SpanRequest, StepResult

__all__ = (
    'CacheEvent',
    'DuplicateError',
    'EngineLoad',
    'EngineModel',
    'EngineProfile',
    'OutOfMemoryError',
    'SequenceRequest',
    'SpanRequest',
    'StepResult',
)
