"""Which replica of a plain service gets a call.

Load pattern: a few replicas with a few slots each; one that is slow or nearly
full would make calls wait while others idle.

Without it: calls in turn pile up at a slow replica.
"""

from collections.abc import Callable, Sequence

from ...ids import EndpointId
from ...routing import EndpointRecord


def choose_plain(
    replicas: Sequence[EndpointRecord],
    load_of: Callable[[EndpointId], float],
) -> EndpointRecord | None:
    """Return the replica with the least load for its slots, if any.

    Parameters
    ----------
    load_of
        Returns the calls in progress at a replica, with a penalty for one
        that failed lately.
    """
    return min(
        replicas,
        key=lambda replica: load_of(replica.endpoint) / max(1, replica.slots),
        default=None,
    )
