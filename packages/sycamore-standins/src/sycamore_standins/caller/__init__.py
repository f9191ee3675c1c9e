"""A caller that checks that its answers are whole and its own."""

from .answers import Answer, Fault, PlainAnswer, Problem
from .asks import Ask, PlainAsk
from .caller import Caller, CallerIdentity
from .events import Event, EventParser
from .keys import new_key
from .patience import PatientCaller, Story

__all__ = (
    'Answer',
    'Ask',
    'Caller',
    'CallerIdentity',
    'Event',
    'EventParser',
    'Fault',
    'PatientCaller',
    'PlainAnswer',
    'PlainAsk',
    'Problem',
    'Story',
    'new_key',
)
