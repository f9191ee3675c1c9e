"""Log lines that record the basis of decisions about requests."""

import math

from .callers.refusals import Refusal, RefusalBasis
from .callers.stop_admission import StopAdmission
from .callers.stop_basis import StopBasis
from .calls import AdmittedRequest
from .context import ForwardingContext
from .placement.dispatcher import Placement

_MS = 1000.0


class DecisionLog:
    """Logs the placement or the refusal of requests."""

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context

    def log_placement(
        self, call: AdmittedRequest, placement: Placement
    ) -> None:
        """Log the endpoint of a request and the figures behind the choice."""
        keeper = self.context.keeper
        plan = placement.plan
        now = self.context.clock.monotonic()
        seconds_left = call.objective_at - now
        report_age = self.context.dispatcher.loads.report_age(plan.primary, now)
        self.context.log.info(
            'request_placed',
            request_id=call.request_id,
            workspace=call.workspace,
            prompt_length=call.terms.prompt_tokens,
            endpoint=placement.primary.endpoint,
            zone=placement.primary.zone,
            news_age=None if report_age is None else round(report_age, 3),
            helpers=[helper.endpoint for helper in placement.helpers],
            stored=len(plan.helper_tokens),
            part_ms=round(plan.part_ms, 1),
            expected_ms=round(plan.expected_ms, 1),
            cost=round(plan.cost, 3),
            harm=round(plan.interference, 3),
            left_ms=round(seconds_left * _MS, 1),
            settings_version=call.settings_version,
            settings_age=keeper.age,
            entries=self.context.entry_count,
            **_stop_fields(StopAdmission(self.context).basis(call, placement)),
        )

    def log_refusal(self, request_id: str, refusal: Refusal) -> None:
        """Log the cause of a refusal and the state behind it."""
        keeper = self.context.keeper
        self.context.log.info(
            'forwarding_refused',
            request_id=request_id,
            cause=refusal.cause.value,
            detail=refusal.detail,
            retry_after=round(refusal.retry_after, 2),
            settings_version=keeper.version,
            settings_age=keeper.age,
            endpoints=len(keeper.directory.records),
            entries=self.context.entry_count,
            **_basis_fields(refusal.basis),
            **_stop_fields(refusal.stop_basis),
        )


def _stop_fields(basis: StopBasis | None) -> dict[str, float | bool]:
    return {} if basis is None else basis.log_fields()


def _basis_fields(
    basis: RefusalBasis | None,
) -> dict[str, float | list[int] | None]:
    if basis is None:
        return {}
    expected = basis.expected_seconds * _MS
    age = basis.report_age
    return {
        'rank': [basis.rank.workspace, basis.rank.route],
        # JSON has no infinite numbers.
        'expected_ms': round(expected, 1) if math.isfinite(expected) else None,
        'waiting_before': basis.waiting_before,
        'free_slots': basis.free_slots,
        'report_age': None if age is None else round(age, 3),
    }
