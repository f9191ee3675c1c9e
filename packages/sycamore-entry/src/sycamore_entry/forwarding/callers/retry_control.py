"""Decides after a failed attempt of one request whether it is retried."""

import msgspec
from sycamore_core.decisions.direct import (
    AttemptEnd,
    AttemptLog,
    NextStep,
    RetryBudgetState,
    RetryPermission,
    next_step,
    retry_permission,
)

from ..calls import AdmittedRequest
from ..context import ForwardingContext


class RetryDecision(msgspec.Struct, frozen=True):
    """The step after a failed attempt, and what decided it.

    Attributes
    ----------
    budget
        The retry budget of the service before the decision.
    """

    step: NextStep
    permission: RetryPermission
    budget: RetryBudgetState


class RetryControl:
    """Applies the route's rules and the shared retry budget to one request."""

    def __init__(
        self,
        context: ForwardingContext,
        attempts: AttemptLog,
    ) -> None:
        self.context = context
        self.attempts = attempts

    def record_first_attempt(self, call: AdmittedRequest) -> None:
        """Record the request in the retry budget of its service."""
        budget = self.context.retry_budget(call.service.service)
        budget.record_first_attempt(self._now())

    def decide(self, call: AdmittedRequest, end: AttemptEnd) -> RetryDecision:
        """Decide on the step after an attempt; count the decision."""
        budget = self.context.retry_budget(call.service.service)
        state = budget.state(self._now())
        permission = self._permission(call, end)
        self.context.metrics.retries.count_permission(permission)
        step = next_step(
            call.route.kind,
            end,
            self.attempts,
            may_retry=permission.permits,
            max_attempts=call.route.max_attempts,
        )
        return RetryDecision(step, permission, state)

    def _permission(
        self,
        call: AdmittedRequest,
        end: AttemptEnd,
    ) -> RetryPermission:
        permission = retry_permission(
            call.route.kind,
            end,
            self.attempts,
            max_attempts=call.route.max_attempts,
        )
        if permission != RetryPermission.GRANTED:
            return permission
        budget = self.context.retry_budget(call.service.service)
        if budget.try_acquire(self._now()):
            return permission
        return RetryPermission.BUDGET_SPENT

    def _now(self) -> float:
        return self.context.clock.monotonic()
