"""Whether a request under its caller's own key may run here in one step."""

from .doubt import Doubt, KeyFacts, doubt_about
from .history import HomeHistory

__all__ = ('Doubt', 'HomeHistory', 'KeyFacts', 'doubt_about')
