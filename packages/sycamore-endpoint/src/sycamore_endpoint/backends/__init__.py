"""What stands behind an endpoint process: an engine or a plain service."""

from .base import Backend, Piece, StartGate
from .engine import EngineBackend
from .plain import PlainBackend

__all__ = ('Backend', 'EngineBackend', 'Piece', 'PlainBackend', 'StartGate')
