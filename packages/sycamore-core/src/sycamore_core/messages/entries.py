"""Messages between entries that call endpoints themselves."""

import msgspec

from ..ids import EndpointId, EntryId, TraitDigest, ZoneId
from ..routing import (
    ColdReport,
    CrashReport,
    EndpointLifetime,
    EngineShare,
    EvacuationReport,
    LimitReport,
    PaceReport,
    WaitingReport,
    WorkspaceUsage,
)
from .base import BaseMessage


class CellMembers(msgspec.Struct, frozen=True, array_like=True):
    """Addresses of entries of one zone."""

    zone: ZoneId
    addresses: tuple[str, ...]


class LoadUpdate(BaseMessage, frozen=True):
    """Heartbeat of an entry with its load at the endpoints.

    Attributes
    ----------
    is_full
        Whether `shares` is the full load of the entry; otherwise it has
        only the changes since the previous update.
    peers
        Addresses of the entries known to the sender, for a new member whose
        version does not support cells.
    leaving
        Endpoints that the sender recently saw leaving.
    short_requests_per_s
        Arrival rate of short requests at the sender, per second.
    members
        Entries known to the sender, through which a new member discovers
        the fleet.
    is_introduction
        Whether the receiver is asked to reply with the members it knows.
    failing
        Endpoints at which attempts of the sender have just failed.
    crashes
        Crashes of endpoints, with the requests that they processed.
    limits
        Rate limits of endpoints, with the requests sent to them.
    ended
        Lifetimes of endpoints that recently ended.
    evacuations
        Zones that are evacuated, or were taken back into use recently.
    cold
        Cold endpoints, with the requests sent to them.
    waiting
        Requests that wait at the sender for a slot.
    usage
        Resources that workspaces use through the sender.
    paces
        Engines that the sender measures as slow.
    known_entries
        Number of entries that the sender knows, itself and lost entries
        included; 0 if it is not reported.
    reports_all_suspects
        Whether `crashes` has all traits that the sender suspects, with their
        trials.
    """

    entry: EntryId
    zone: ZoneId
    settings_version: int
    is_full: bool
    shares: tuple[EngineShare, ...] = ()
    peers: tuple[str, ...] = ()
    leaving: tuple[EndpointLifetime, ...] = ()
    short_requests_per_s: float = 0
    members: tuple[CellMembers, ...] = ()
    is_introduction: bool = False
    failing: tuple[EndpointId, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    ended: tuple[EndpointLifetime, ...] = ()
    evacuations: tuple[EvacuationReport, ...] = ()
    cold: tuple[ColdReport, ...] = ()
    waiting: tuple[WaitingReport, ...] = ()
    usage: tuple[WorkspaceUsage, ...] = ()
    paces: tuple[PaceReport, ...] = ()
    known_entries: int = 0
    reports_all_suspects: bool = False


class CellSummary(BaseMessage, frozen=True):
    """State of a cell, sent by one of its entries to another cell.

    Attributes
    ----------
    shares
        Load of all entries except the receiver at the engines of the cell;
        idle engines are omitted.
    members
        Live entries of the cell.
    contacts
        One live entry of each other cell, so that cells that lost contact
        with one another reconnect.
    leaving
        Endpoints that were recently seen leaving.
    short_requests_per_s
        Arrival rate of short requests in the cell, per second.
    crashes
        Crashes of endpoints, with the requests that they processed.
    limits
        Rate limits of the endpoints of the cell, with the requests sent to
        them by all entries except the receiver.
    ended
        Lifetimes of endpoints that recently ended.
    evacuations
        Zones that are evacuated, or were taken back into use recently.
    cold
        Cold endpoints of the cell, with the requests sent to them by all
        entries except the receiver.
    waiting
        Requests that wait in the cell for a slot.
    usage
        Resources that workspaces use through the cell.
    paces
        Engines that the sender measures as slow.
    known_entries
        Number of entries that the sender knows, itself and lost entries
        included; 0 if it is not reported.
    reports_all_suspects
        Whether `crashes` has all traits that the sender suspects, with their
        trials.
    """

    entry: EntryId
    zone: ZoneId
    settings_version: int
    shares: tuple[EngineShare, ...] = ()
    members: tuple[str, ...] = ()
    contacts: tuple[CellMembers, ...] = ()
    leaving: tuple[EndpointLifetime, ...] = ()
    short_requests_per_s: float = 0
    crashes: tuple[CrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    ended: tuple[EndpointLifetime, ...] = ()
    evacuations: tuple[EvacuationReport, ...] = ()
    cold: tuple[ColdReport, ...] = ()
    waiting: tuple[WaitingReport, ...] = ()
    usage: tuple[WorkspaceUsage, ...] = ()
    paces: tuple[PaceReport, ...] = ()
    known_entries: int = 0
    reports_all_suspects: bool = False


class TrialWanted(BaseMessage, frozen=True):
    """Asks for a trial of a trait whose quarantine is over."""

    trait: TraitDigest


class TrialAnswer(BaseMessage, frozen=True):
    """Grants or denies the trial of a trait whose quarantine is over.

    Attributes
    ----------
    number
        Number of trials including the granted one; 0 if the trial is denied.
    denial
        Reason of a denial; empty if the sender gives none.
    """

    trait: TraitDigest
    number: int
    denial: str = ''


class CompressedMessage(BaseMessage, frozen=True):
    """A `LoadUpdate` or a `CellSummary`, compressed once for all receivers.

    Attributes
    ----------
    payload
        MessagePack form of the message, as a zlib stream.
    """

    payload: bytes
