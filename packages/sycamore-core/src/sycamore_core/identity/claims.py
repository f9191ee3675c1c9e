"""What a request id says of itself."""

import enum

import msgspec

from ..ids import Incarnation, PeerId, ServiceId, WorkspaceId


class IdKind(enum.StrEnum):
    """Who minted a request id."""

    #: An entry, for a request that may run at any endpoint of the service.
    ENTRY = 'e'
    #: An endpoint process, for a request that runs there or nowhere.
    BOUND = 'b'


class RequestClaims(msgspec.Struct, frozen=True, array_like=True):
    """The signed content of a request id.

    Attributes
    ----------
    minter, incarnation
        The process that minted the id, and its start.
    issued
        Reading of the minter's monotonic clock, in seconds; it means
        something to the same incarnation only.
    nonce
        Makes ids minted at the same moment differ.
    """

    kind: IdKind
    workspace: WorkspaceId
    service: ServiceId
    minter: PeerId
    incarnation: Incarnation
    issued: float
    nonce: str
