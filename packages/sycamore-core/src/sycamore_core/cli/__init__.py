"""Commands that both binaries share."""

from .app import make_app
from .exits import ExitCode

__all__ = ('ExitCode', 'make_app')
