"""Keeps a silent attempt at its endpoint while the fleet is full.

Without this, a late request of a full fleet moves to an engine whose slot has
just become free. Its prompt is prefilled twice, and another request finds no
slot.
"""

import math
from collections.abc import Set

import msgspec
from sycamore_core.decisions.direct import remaining_ms
from sycamore_core.decisions.overload import SilentAttempt, is_move_useful
from sycamore_core.ids import EndpointId
from sycamore_core.routing import EngineCosts

from ..calls import AdmittedRequest
from ..context import ForwardingContext
from ..placement.dispatcher import Placement
from ..placement.plain_admission import PlainAdmission
from ..placement.read_requests import make_read_request

_MS = 1000.0


class FullFleetHold:
    """Decides whether one attempt without a first event stays.

    It applies to ranked model services, and to plain services if there is a
    ranked service.

    Parameters
    ----------
    excluded
        Endpoints that must not run the request after this attempt, its own
        among them.

    Attributes
    ----------
    is_logged
        Whether the log and the metrics state that the attempt stayed.
    """

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
        placement: Placement,
        excluded: Set[EndpointId],
    ) -> None:
        self.context = context
        self.call = call
        self.placement = placement
        self.unusable = excluded
        self.plain = PlainAdmission(context, call)
        self.is_logged = False

    def applies(self, waited: float, patience: float) -> bool:
        """Return whether the attempt stays although it is silent.

        Parameters
        ----------
        waited
            Time since the request was sent, in seconds.
        patience
            Time after which it may move if the fleet is not full, in seconds.
        """
        attempt = self._attempt_on_full_fleet(waited * _MS, patience * _MS)
        if attempt is None:
            return False
        has_failed = self._has_failed()
        applies = not is_move_useful(
            attempt, is_full=True, has_failed=has_failed
        )
        if applies:
            self._record(attempt)
        return applies

    def alternative_ms(self, costs: EngineCosts) -> float:
        """Return the time to the first event at another engine, in ms."""
        other = self.context.dispatcher.place_model(
            self.call.service,
            costs,
            make_read_request(self.call, self._now()),
            self.unusable,
            self.call.allowed_zones,
        )
        return math.inf if other is None else other.plan.expected_ms

    def _plain_alternative(self) -> Placement | None:
        return self.context.dispatcher.place_plain(
            self.call.service,
            self.unusable,
            self.call.allowed_zones,
        )

    def _attempt_on_full_fleet(
        self, waited_ms: float, patience_ms: float
    ) -> SilentAttempt | None:
        """Return the attempt; None if it may move by the usual rules."""
        costs = self.call.service.engine
        if costs is None:
            return self._plain_attempt(waited_ms)
        attempt = self._model_attempt(costs, waited_ms)
        if attempt is None:
            return None
        return msgspec.structs.replace(attempt, patience_ms=patience_ms)

    def _plain_attempt(self, waited_ms: float) -> SilentAttempt | None:
        if not self.plain.is_active:
            return None
        primary = self.placement.primary
        other = self._plain_alternative()
        if other is None:
            return None
        alternative = self.plain.forecast(other.primary)
        if alternative.has_free_slot:
            return None
        own_ms = self.plain.forecast(primary).expected_seconds * _MS
        return SilentAttempt(
            waited_ms=waited_ms,
            expected_ms=own_ms,
            remaining_ms=max(0, own_ms - waited_ms),
            alternative_ms=alternative.expected_seconds * _MS,
        )

    def _model_attempt(
        self, costs: EngineCosts, waited_ms: float
    ) -> SilentAttempt | None:
        service = self.call.service
        admission = self.context.admission
        if not (admission.is_active(service) and admission.is_full(service)):
            return None
        plan = self.placement.plan
        return SilentAttempt(
            waited_ms=waited_ms,
            expected_ms=plan.expected_ms,
            remaining_ms=remaining_ms(
                self.call.request_id,
                plan.members,
                self.context.dispatcher.loads,
                costs,
                self._now(),
            ),
            alternative_ms=self.alternative_ms(costs),
        )

    def _has_failed(self) -> bool:
        """Return whether the endpoint has failed, or is not registered."""
        primary = self.placement.primary.endpoint
        failures = self.context.dispatcher.failures
        directory = self.context.keeper.directory
        is_listed = directory.find(primary) is not None
        return failures.has_failed(primary, self._now()) or not is_listed

    def _record(self, attempt: SilentAttempt) -> None:
        if self.is_logged:
            return
        self.is_logged = True
        alternative = attempt.alternative_ms
        self.context.metrics.held_attempts.add(self.call.route.name)
        self.context.log.info(
            'silent_attempt_held',
            request_id=self.call.request_id,
            endpoint=self.placement.primary.endpoint,
            waited_ms=round(attempt.waited_ms, 1),
            own_ms=round(attempt.own_ms, 1),
            # JSON has no infinite numbers.
            alternative_ms=round(alternative, 1)
            if math.isfinite(alternative)
            else None,
        )

    def _now(self) -> float:
        return self.context.clock.monotonic()
