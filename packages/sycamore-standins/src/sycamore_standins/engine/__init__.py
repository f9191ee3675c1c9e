"""A model engine: the pure model of one, and a server that runs it."""

from .profile import EngineProfile

__all__ = ('EngineProfile',)
