"""What one caller received."""

import msgspec
from sycamore_core.decisions import Refusal, RequestView
from sycamore_core.states import Outcome, RefusalReason

from ..engine import SequenceRequest


class CallerResult(msgspec.Struct, eq=False):
    """The answer to one request, as its caller sees it.

    Attributes
    ----------
    first_token_at, ended_at
        Times, in seconds; None if it did not come to it.
    refusal
        Why it was refused, if it was.
    outcomes
        How often the request has ended; more than 1 is a fault.
    attempts
        How often it was offered to an endpoint.
    """

    request: RequestView
    output_tokens: int
    first_token_at: float | None = None
    ended_at: float | None = None
    outcome: Outcome | None = None
    refusal: RefusalReason | None = None
    retry_after: float = 0
    outcomes: int = 0
    attempts: int = 0

    def sequence(self, priority: int) -> SequenceRequest:
        """Return what an engine is asked to run for the request."""
        return SequenceRequest(
            request_id=self.request.request_id,
            prompt_tokens=self.request.prompt_tokens,
            max_output_tokens=self.request.max_output_tokens,
            output_tokens=self.output_tokens,
            priority=priority,
            blocks=self.request.prefix_blocks,
        )

    def refuse(self, refusal: Refusal, now: float) -> None:
        """Note that the request was refused."""
        self.refusal = refusal.reason
        self.retry_after = refusal.retry_after
        self._close(now)

    def end(self, outcome: Outcome, now: float) -> None:
        """Note how the answer ended."""
        self.outcome = outcome
        self._close(now)

    @property
    def first_token_seconds(self) -> float | None:
        """Time to first token, in seconds; None if there was none."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.request.arrival

    @property
    def in_time(self) -> bool:
        """Whether the answer is whole and its first token met the target."""
        seconds = self.first_token_seconds
        if self.outcome != Outcome.COMPLETE or seconds is None:
            return False
        target = self.request.target_seconds
        return not target or seconds <= target

    def _close(self, now: float) -> None:
        self.ended_at = now
        self.outcomes += 1
