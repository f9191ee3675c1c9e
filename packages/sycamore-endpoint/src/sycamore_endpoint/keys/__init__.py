"""Check whether a request with its caller's own key may run here."""

from .doubt import KeyContext, KeyRefusal, key_refusal
from .history import HomeHistory

__all__ = ('HomeHistory', 'KeyContext', 'KeyRefusal', 'key_refusal')
