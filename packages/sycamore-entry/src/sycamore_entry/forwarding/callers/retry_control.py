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
from ..endpoints.move_permit import MovePermit


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

    def decide(
        self,
        call: AdmittedRequest,
        end: AttemptEnd,
        permit: MovePermit,
    ) -> RetryDecision:
        """Decide on the step after an attempt; count the decision.

        Parameters
        ----------
        permit
            Holds the retry that was reserved before the attempt was given up.
        """
        budget = self.context.retry_budget(call.service.service)
        state = budget.state(self._now())
        permission = self._permission(call, end, permit)
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
        permit: MovePermit,
    ) -> RetryPermission:
        permission = retry_permission(
            call.route.kind,
            end,
            self.attempts,
            max_attempts=call.route.max_attempts,
        )
        if permission != RetryPermission.GRANTED:
            permit.give_back()
            return permission
        return permission if permit.use() else RetryPermission.BUDGET_SPENT

    def _now(self) -> float:
        return self.context.clock.monotonic()
