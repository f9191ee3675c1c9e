"""Clients of the back end of an endpoint process."""

from .base import Backend, Piece, StartGate
from .engine import EngineBackend
from .plain import PlainBackend

__all__ = ('Backend', 'EngineBackend', 'Piece', 'PlainBackend', 'StartGate')
