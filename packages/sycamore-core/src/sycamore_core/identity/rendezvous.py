"""Rendezvous hashing: every process ranks the names for a key alike."""

from collections.abc import Iterable, Sequence

from ..hashes import stable_hash
from ..ids import EndpointId, IdempotencyKey, ServiceId, WorkspaceId
from ..settings import FleetSettings

_SEPARATOR = '\0'


def rendezvous_score(key: str, name: str) -> int:
    """Return the score of a name for a key; the highest score ranks first."""
    return stable_hash(_SEPARATOR.join((key, name)))


def rendezvous_ranking(key: str, names: Iterable[str]) -> list[str]:
    """Return the names ordered by descending score for a key.

    Adding or removing a name moves only the keys that rank it first.

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

    The result depends on the published settings only, not on which endpoints
    are alive, so that processes with the same settings always agree.
    """
    names = [entry.endpoint for entry in fleet.endpoints_of(service)]
    return home_among(names, workspace, service, key)


def home_among(
    names: Sequence[EndpointId],
    workspace: WorkspaceId,
    service: ServiceId,
    key: IdempotencyKey,
) -> EndpointId | None:
    """Return the home endpoint of a key among the endpoints of a service."""
    if not names:
        return None
    scoped = _SEPARATOR.join((workspace, service, key))
    return EndpointId(rendezvous_ranking(scoped, names)[0])
