"""The commands that both binaries have."""

from .app import make_app
from .exits import ExitCode

__all__ = ('ExitCode', 'make_app')
