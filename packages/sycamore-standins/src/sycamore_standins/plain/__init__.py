"""A plain service that remembers every call, so that a double shows."""

from .journal import CallJournal, CallRecord
from .server import make_application

__all__ = ('CallJournal', 'CallRecord', 'make_application')
