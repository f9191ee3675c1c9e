"""Which replica of a plain service receives a call.

Load pattern: a service has a few replicas with a few slots each. A replica
that is slow or nearly full makes calls wait while other replicas are idle.

Without this, calls that are distributed round-robin accumulate at a slow
replica.
"""

from collections.abc import Callable, Sequence

from ...ids import EndpointId
from ...routing import EndpointRecord


def choose_plain(
    replicas: Sequence[EndpointRecord],
    load_of: Callable[[EndpointId], float],
) -> EndpointRecord | None:
    """Return the replica with the lowest load per slot; None if there is none.

    Parameters
    ----------
    load_of
        Returns the number of calls in progress at a replica, with a penalty
        for a replica that failed recently.
    """
    return min(
        replicas,
        key=lambda replica: load_of(replica.endpoint) / max(1, replica.slots),
        default=None,
    )
