"""HTTP for callers and operators."""

from .app import make_application
from .shared import WebContext

__all__ = ('WebContext', 'make_application')
