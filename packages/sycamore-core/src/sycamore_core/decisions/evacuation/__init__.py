"""Which zones are evacuated, by reports that may arrive in any order."""

from .zone_states import ZoneStates

__all__ = ('ZoneStates',)
