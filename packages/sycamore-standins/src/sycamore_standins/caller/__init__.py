"""A caller that checks that its answers are whole and its own."""

from .answers import Answer, Fault, PlainAnswer, Problem
from .asks import Ask, PlainAsk
from .caller import Caller, CallerIdentity
from .events import Event, EventParser

__all__ = (
    'Answer',
    'Ask',
    'Caller',
    'CallerIdentity',
    'Event',
    'EventParser',
    'Fault',
    'PlainAnswer',
    'PlainAsk',
    'Problem',
)
