"""Decisions on requests that may crash endpoints.

Load pattern: one request, or one part of prompts, crashes each engine that
begins to run it, comes at any entry again and again, and runs beside popular
requests that are harmless.
"""

from .abandoned import MAX_ABANDONED_SECONDS, AbandonedAttempt
from .beginnings import BEGINNING_SECONDS
from .quarantine import Quarantine
from .suspect_places import SuspectLocations
from .traits import TraitKind, kind_of
from .trial_readiness import TrialReadiness
from .trials import TrialDecision, TrialDenial, granting_entry

__all__ = (
    'AbandonedAttempt',
    'BEGINNING_SECONDS',
    'MAX_ABANDONED_SECONDS',
    'Quarantine',
    'SuspectLocations',
    'TraitKind',
    'TrialDecision',
    'TrialDenial',
    'TrialReadiness',
    'granting_entry',
    'kind_of',
)
