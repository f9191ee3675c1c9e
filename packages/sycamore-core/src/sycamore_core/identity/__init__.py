"""Request ids that say where they came from and cannot be forged."""

from .claims import IdKind, RequestClaims
from .signer import RequestIdSigner

__all__ = ('IdKind', 'RequestClaims', 'RequestIdSigner')
