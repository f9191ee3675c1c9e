"""The demo: a whole fleet under a mix of the users' work, and its verdict."""

from .mix import DemoMix
from .table import DemoTable

__all__ = ('DemoMix', 'DemoTable')
