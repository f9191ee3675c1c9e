"""Clients of the back end of an endpoint process."""

from .base import AnswerChunk, Backend, StartGate
from .engine import EngineBackend
from .plain import PlainBackend

__all__ = (
    'AnswerChunk',
    'Backend',
    'EngineBackend',
    'PlainBackend',
    'StartGate',
)
