"""What shows that a lifetime of an endpoint has ended."""

import enum

import msgspec

from ...routing import EndpointLifetime


class EndEvidence(enum.StrEnum):
    """What shows that a lifetime has ended."""

    #: Another instance answers at its address.
    OTHER_INSTANCE = 'other_instance'
    #: Its id has registered with a newer start.
    NEWER_START = 'newer_start'
    #: It did not acknowledge the probes of an open connection.
    CONNECTION_LOST = 'connection_lost'
    #: Its registration was removed, and it has sent nothing since or before.
    REMOVED = 'removed'
    #: A peer has reported the end.
    PEER = 'peer'

    @property
    def is_certain(self) -> bool:
        """Whether the endpoint cannot be in use under this start again.

        Otherwise the path to the endpoint, or from it to the platform, may be
        broken instead. The attempts end all the same, as they receive nothing.
        """
        return self in {EndEvidence.OTHER_INSTANCE, EndEvidence.NEWER_START}

    @property
    def is_silence(self) -> bool:
        """Whether the evidence is that nothing arrives at this entry."""
        return self in {EndEvidence.CONNECTION_LOST, EndEvidence.REMOVED}


class LifetimeEnd(msgspec.Struct, frozen=True):
    """The end of a lifetime.

    Attributes
    ----------
    age
        Time since the evidence was first seen, in seconds.
    """

    lifetime: EndpointLifetime
    evidence: EndEvidence
    age: float = 0
