"""Rounds of random kills, pauses and cuts under load, judged each."""

from .rounds import ChaosRound
from .verdict import Finding

__all__ = ('ChaosRound', 'Finding')
