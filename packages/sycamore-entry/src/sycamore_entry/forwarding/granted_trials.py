"""Trials that were granted to the next attempt of one request."""

from collections.abc import Iterable

from sycamore_core.decisions.crashes import TraitKind, kind_of
from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import TraitDigest

from .trials import TrialGrants


class GrantedTrials:
    """Traits for which the next attempt of a request is a trial.

    Attributes
    ----------
    numbers
        Numbers of the trials, by the suspect traits that do not keep the
        request from being sent.
    """

    def __init__(self, grants: TrialGrants) -> None:
        self.grants = grants
        self.numbers: dict[TraitDigest, int] = {}

    async def claim(self, trait: TraitDigest) -> bool:
        """Ask for a trial of a trait; return whether it is granted."""
        number = await self.grants.request_trial(trait)
        if number:
            self.numbers[trait] = number
        return number > 0

    def end_attempt(self, end: AttemptEnd) -> None:
        """Record the end of an attempt, and that of its trials.

        A trial of a content goes on until the request has run. A trial of a
        part is over once the request has reached an endpoint, because the
        number of requests with a crashing part that do so is bounded.
        """
        self._end([one for one in self.numbers if _is_over(one, end)])

    def abandon(self) -> None:
        """Forget the trials, as their endpoint may go on with the request."""
        self.numbers.clear()

    def finish(self) -> None:
        """Record that the request is over, and with it its trials."""
        self._end(tuple(self.numbers))

    def _end(self, traits: Iterable[TraitDigest]) -> None:
        for trait in traits:
            self.grants.record_end(trait, self.numbers.pop(trait))


def _is_over(trait: TraitDigest, end: AttemptEnd) -> bool:
    if kind_of(trait) == TraitKind.PART:
        return end.was_sent
    return not end.has_not_run
