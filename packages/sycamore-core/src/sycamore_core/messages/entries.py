"""Messages between entries that call endpoints themselves."""

import msgspec

from ..ids import ContentDigest, EndpointId, EntryId, ZoneId
from ..routing import (
    CrashReport,
    EndpointLifetime,
    EngineShare,
    LimitReport,
)
from .base import BaseMessage


class CellMembers(msgspec.Struct, frozen=True, array_like=True):
    """Entries of one zone, by their addresses."""

    zone: ZoneId
    addresses: tuple[str, ...]


class LoadUpdate(BaseMessage, frozen=True):
    """Sign of life of an entry, with what it has at endpoints.

    Attributes
    ----------
    is_whole
        Whether `shares` names all that the entry has; otherwise only what
        has changed since the update before.
    peers
        Addresses of the entries that it hears, for a newcomer of a version
        that knows no cells.
    leaving
        Endpoints that it has lately seen to leave.
    turns_per_s
        Short turns that arrive at it.
    members
        Entries that it hears, by which a newcomer finds them all.
    is_greeting
        Whether the receiver is asked to say whom it knows.
    failing
        Endpoints at which attempts of this entry have just failed.
    crashes
        Requests under which endpoints crashed.
    limits
        Endpoints that name a limit, and what it has sent to them.
    """

    entry: EntryId
    zone: ZoneId
    settings_version: int
    is_whole: bool
    shares: tuple[EngineShare, ...] = ()
    peers: tuple[str, ...] = ()
    leaving: tuple[EndpointLifetime, ...] = ()
    turns_per_s: float = 0
    members: tuple[CellMembers, ...] = ()
    is_greeting: bool = False
    failing: tuple[EndpointId, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()


class CellSummary(BaseMessage, frozen=True):
    """What an entry knows of its cell, for an entry of another cell.

    Attributes
    ----------
    shares
        What all entries but the receiver have at the engines of the cell;
        engines without work are left out.
    members
        Living entries of the cell.
    contacts
        One living entry of each other cell, so that cells which have lost
        sight of one another meet again.
    leaving
        Endpoints that were lately seen to leave.
    turns_per_s
        Short turns that arrive in the cell.
    crashes
        Requests under which endpoints crashed.
    limits
        Endpoints of the cell that name a limit, and what all entries but the
        receiver have sent to them.
    """

    entry: EntryId
    zone: ZoneId
    settings_version: int
    shares: tuple[EngineShare, ...] = ()
    members: tuple[str, ...] = ()
    contacts: tuple[CellMembers, ...] = ()
    leaving: tuple[EndpointLifetime, ...] = ()
    turns_per_s: float = 0
    crashes: tuple[CrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()


class TrialWanted(BaseMessage, frozen=True):
    """Asks whether a request whose hold is over may be tried."""

    content: ContentDigest


class TrialAnswer(BaseMessage, frozen=True):
    """Says whether a request whose hold is over may be tried.

    Attributes
    ----------
    number
        How often it has been tried with this attempt; 0 if it may not be.
    """

    content: ContentDigest
    number: int


class CompressedMessage(BaseMessage, frozen=True):
    """A `LoadUpdate` or a `CellSummary`, compressed once for all receivers.

    Attributes
    ----------
    payload
        Its MessagePack form, as a zlib stream.
    """

    payload: bytes
