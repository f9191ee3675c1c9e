"""Lifetimes whose registrations were removed while they may still run.

Load pattern: endpoints finish long streams after their registrations have been
removed, while other registrations lapse because their endpoints are gone.

Without the condition of silence, streams of draining endpoints would be cut.
Without the removal, silence would end long prompts whose engines are busy.
"""

from ...routing import EndpointLifetime
from ...routing.directory import REREGISTRATION_SECONDS
from .evidence import EndEvidence, LifetimeEnd

#: Silence after which a lifetime without a registration has ended, in seconds.
#: An endpoint whose registration lapsed by mistake registers again sooner, and
#: memory must be free four seconds after it has become of no use.
ENDED_SILENCE_SECONDS = REREGISTRATION_SECONDS
#: Number of lifetimes whose last sign of life is remembered.
_MAX_HEARD = 2000


class RemovedLifetimes:
    """Removed registrations, and when this entry last heard of lifetimes.

    Examples
    --------
    >>> removed = RemovedLifetimes()
    >>> lifetime = EndpointLifetime('e1', 5)
    >>> removed.record_heard(lifetime, now=10)
    >>> removed.record_removal(lifetime, now=11)
    >>> removed.pop_ended(now=12), len(removed.pop_ended(now=13))
    ([], 1)
    """

    def __init__(self) -> None:
        self._heard_at: dict[EndpointLifetime, float] = {}
        self._removed_at: dict[EndpointLifetime, float] = {}

    def record_heard(self, lifetime: EndpointLifetime, now: float) -> None:
        """Record that a lifetime sent anything to this entry."""
        self._heard_at.pop(lifetime, None)
        self._heard_at[lifetime] = now
        if len(self._heard_at) > _MAX_HEARD:
            self._heard_at.pop(next(iter(self._heard_at)))

    def record_removal(self, lifetime: EndpointLifetime, now: float) -> None:
        """Record that the registration of a lifetime was removed."""
        self._removed_at[lifetime] = now

    def record_registration(self, lifetime: EndpointLifetime) -> None:
        """Record that a lifetime is registered, perhaps again."""
        self._removed_at.pop(lifetime, None)

    def was_heard_within(
        self,
        lifetime: EndpointLifetime,
        seconds: float,
        now: float,
    ) -> bool:
        """Return whether a lifetime sent anything within the last seconds."""
        heard_at = self._heard_at.get(lifetime)
        return heard_at is not None and now - heard_at <= seconds

    def pop_ended(self, now: float) -> list[LifetimeEnd]:
        """Return the removed lifetimes that have been silent for too long.

        A lifetime that has sent nothing yet counts as heard when it was
        removed.
        """
        ended = [
            LifetimeEnd(lifetime, EndEvidence.REMOVED, now - removed_at)
            for lifetime, removed_at in self._removed_at.items()
            if self._silence(lifetime, now) >= ENDED_SILENCE_SECONDS
        ]
        for end in ended:
            self._removed_at.pop(end.lifetime)
            self._heard_at.pop(end.lifetime, None)
        return ended

    def _silence(self, lifetime: EndpointLifetime, now: float) -> float:
        heard_at = self._heard_at.get(lifetime, self._removed_at[lifetime])
        return now - heard_at
