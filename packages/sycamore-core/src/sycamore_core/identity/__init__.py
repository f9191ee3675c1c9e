"""Request ids that say where they came from and cannot be forged."""

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
