"""Decisions on requests that may crash endpoints.

Load pattern: one request crashes each engine that begins to run it, is repeated
at any entry, and runs beside popular requests that are harmless.
"""

from .abandoned import MAX_ABANDONED_SECONDS, AbandonedAttempt
from .quarantine import Quarantine
from .suspect_places import SuspectLocations
from .trial_readiness import TrialReadiness
from .trials import TrialDecision, TrialDenial, granting_entry

__all__ = (
    'AbandonedAttempt',
    'MAX_ABANDONED_SECONDS',
    'Quarantine',
    'SuspectLocations',
    'TrialDecision',
    'TrialDenial',
    'TrialReadiness',
    'granting_entry',
)
