"""The claims that a request id carries."""

import enum

import msgspec

from ..ids import Incarnation, PeerId, ServiceId, WorkspaceId


class IdKind(enum.StrEnum):
    """Which kind of process minted a request id."""

    #: An entry, for a request that may run at any endpoint of the service.
    ENTRY = 'e'
    #: An endpoint process, for a request that only this endpoint may run.
    BOUND = 'b'


class RequestClaims(msgspec.Struct, frozen=True, array_like=True):
    """The signed content of a request id.

    Attributes
    ----------
    minter, incarnation
        Name and incarnation of the process that minted the id.
    issued
        Time on the minter's monotonic clock, in seconds. Only the same
        incarnation can compare it with its clock.
    nonce
        Distinguishes ids that are minted at the same time.
    """

    kind: IdKind
    workspace: WorkspaceId
    service: ServiceId
    minter: PeerId
    incarnation: Incarnation
    issued: float
    nonce: str
