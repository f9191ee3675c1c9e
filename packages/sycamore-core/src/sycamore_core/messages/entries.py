"""What entries that call endpoints themselves tell one another."""

from ..ids import EntryId, ZoneId
from ..routing import EndpointLifetime, EngineShare
from .base import BaseMessage


class LoadUpdate(BaseMessage, frozen=True):
    """Sign of life of an entry, with what it has at endpoints.

    Attributes
    ----------
    is_whole
        Whether `shares` names all that the entry has; otherwise only what
        has changed since the update before.
    peers
        Addresses of the entries that it hears, by which a newcomer finds
        them all.
    leaving
        Endpoints that it has lately seen to leave.
    turns_per_s
        Short turns that arrive at it.
    """

    entry: EntryId
    zone: ZoneId
    settings_version: int
    is_whole: bool
    shares: tuple[EngineShare, ...] = ()
    peers: tuple[str, ...] = ()
    leaving: tuple[EndpointLifetime, ...] = ()
    turns_per_s: float = 0
