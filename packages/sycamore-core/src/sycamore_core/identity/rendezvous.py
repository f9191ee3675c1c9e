"""Rendezvous hashing: the same ranking of names for a key in every process."""

from collections.abc import Iterable, Sequence

from ..hashes import stable_hash
from ..ids import EndpointId, IdempotencyKey, ServiceId, WorkspaceId
from ..settings import FleetSettings

_SEPARATOR = '\0'


def rendezvous_score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest is the first."""
    return stable_hash(_SEPARATOR.join((key, name)))


def rendezvous_ranking(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order in which the key prefers them.

    Adding or removing a name moves only the keys that it wins or held.

    Examples
    --------
    >>> ranking = rendezvous_ranking('key', ['a', 'b', 'c'])
    >>> rendezvous_ranking('key', ['c', 'a', 'b']) == ranking
    True
    """
    return sorted(
        names,
        key=lambda name: rendezvous_score(key, name),
        reverse=True,
    )


def home_endpoint(
    fleet: FleetSettings,
    workspace: WorkspaceId,
    service: ServiceId,
    key: IdempotencyKey,
) -> EndpointId | None:
    """Return the only endpoint that may run a request under a caller's key.

    It depends on the published settings alone, not on what is alive, so that
    two processes with the same settings never disagree.
    """
    names = [entry.endpoint for entry in fleet.endpoints_of(service)]
    return home_among(names, workspace, service, key)


def home_among(
    names: Sequence[EndpointId],
    workspace: WorkspaceId,
    service: ServiceId,
    key: IdempotencyKey,
) -> EndpointId | None:
    """Return the home of a caller's key among the endpoints of its service."""
    if not names:
        return None
    scoped = _SEPARATOR.join((workspace, service, key))
    return EndpointId(rendezvous_ranking(scoped, names)[0])
