"""Reports between entries about evacuated zones."""

import msgspec

from ..ids import ZoneId


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """Whether a zone is evacuated, as of a revision of the platform.

    Attributes
    ----------
    epoch
        Counts how often the platform was restored from an older copy.
        Revisions are compared within one epoch only.
    revision
        Revision of the platform at which this state was written or listed.
    is_evacuated
        Whether the endpoints of the zone receive no new requests.
    """

    zone: ZoneId
    epoch: int
    revision: int
    is_evacuated: bool
