"""Traits of the requests that were at endpoints when these crashed."""

from collections.abc import Iterable

from ...ids import TraitDigest
from ...routing import EndpointLifetime
from .crash_records import CrashRecord
from .traits import is_part


class Suspects:
    """Traits that are likely to have crashed each endpoint.

    A request that was given up before the crash may have ended there earlier.
    It takes a part of the shares only of those that are less likely to be the
    cause: contents that have had output.
    """

    def __init__(self) -> None:
        self._present: dict[EndpointLifetime, set[TraitDigest]] = {}
        self._abandoned: dict[EndpointLifetime, set[TraitDigest]] = {}

    def add(
        self,
        trait: TraitDigest,
        endpoint: EndpointLifetime,
        *,
        is_abandoned: bool = False,
    ) -> None:
        """Add a trait to the suspects of a crash."""
        self.discard(trait, endpoint)
        suspects = self._abandoned if is_abandoned else self._present
        suspects.setdefault(endpoint, set()).add(trait)

    def discard(
        self,
        trait: TraitDigest,
        endpoint: EndpointLifetime,
    ) -> None:
        """Remove a trait from the suspects of a crash."""
        for by_endpoint in (self._present, self._abandoned):
            suspects = by_endpoint.get(endpoint, set())
            suspects.discard(trait)
            if not suspects:
                by_endpoint.pop(endpoint, None)

    def others_at(
        self,
        trait: TraitDigest,
        endpoints: Iterable[EndpointLifetime],
    ) -> set[TraitDigest]:
        """Return the other traits that are suspected of these crashes."""
        found: set[TraitDigest] = set()
        for endpoint in endpoints:
            found.update(self._present.get(endpoint, ()))
            found.update(self._abandoned.get(endpoint, ()))
        return found - {trait}

    def share(self, record: CrashRecord, endpoint: EndpointLifetime) -> float:
        """Return the share with which a crash counts against a trait.

        The share is 1 divided by the number of suspects of the same kind: each
        request has a content, and may have several parts.
        """
        suspects = self._present.get(endpoint, set()) | {record.trait}
        if record.has_output:
            suspects |= self._abandoned.get(endpoint, set())
        own_kind = is_part(record.trait)
        return 1 / sum(is_part(suspect) == own_kind for suspect in suspects)
