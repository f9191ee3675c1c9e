"""A TCP relay between processes that can cut, delay and heal each way."""

from .gate import Gate
from .relay import Relay
from .thread import RelayThread

__all__ = ('Gate', 'Relay', 'RelayThread')
