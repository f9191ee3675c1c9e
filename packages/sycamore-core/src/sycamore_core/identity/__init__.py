"""Signed request ids and the choice of the home endpoint of a key."""

from .claims import IdKind, RequestClaims
from .rendezvous import (
    home_among,
    home_endpoint,
    rendezvous_ranking,
    rendezvous_score,
)
from .signer import RequestIdSigner

__all__ = (
    'IdKind',
    'RequestClaims',
    'RequestIdSigner',
    'home_among',
    'home_endpoint',
    'rendezvous_ranking',
    'rendezvous_score',
)
