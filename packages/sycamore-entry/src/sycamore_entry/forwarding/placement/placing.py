"""Places one request, waits for a slot, or refuses the request."""

import asyncio
from collections.abc import Iterable, Set

from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal, RefusalCause
from ..calls import AdmittedRequest
from ..context import ForwardingContext
from .dispatcher import Placement
from .plain_admission import PlainAdmission
from .read_requests import make_read_request
from .rejection import RejectionPolicy
from .slot_wait import SlotWait, UnplacedRequest

#: Time to wait for load reports of peers before a prompt is placed, as a
#: fraction of the time that the prompt took to arrive, and the longest such
#: wait, in seconds. On a narrow link, reports queue behind the prompt and
#: arrive in small messages once the link is free.
_REPORT_WAIT_FRACTION = 0.25
_MAX_REPORT_WAIT_SECONDS = 0.02
#: Shortest such wait, in seconds. Shorter waits are skipped, so that a timer
#: does not delay short requests.
_MIN_REPORT_WAIT_SECONDS = 0.001


class Placer:
    """Finds endpoints for the attempts of one request."""

    def __init__(
        self,
        context: ForwardingContext,
        call: AdmittedRequest,
    ) -> None:
        self.context = context
        self.call = call
        self.rejection = RejectionPolicy(context, call)
        self.plain = PlainAdmission(context, call)

    async def place(
        self,
        excluded: Set[EndpointId],
        failed_at: Set[EndpointId],
        avoided: Set[EndpointId],
        *,
        is_resumption: bool,
        may_wait: bool = True,
    ) -> Placement:
        """Return the endpoints for the next attempt.

        Parameters
        ----------
        excluded
            Endpoints that must not be used.
        failed_at
            Excluded endpoints that are used again if no other endpoint
            accepts the request. Without this, if one replica of three is left
            and fails one request in seven, the requests that it fails are
            lost, because no other endpoint can retry them.
        avoided
            Endpoints that are used only if no other endpoint is free.
        is_resumption
            Whether the caller has received a part of the answer.
        may_wait
            Whether the request waits for a free slot. Otherwise it goes on
            elsewhere, so that its caller does not return.

        Raises
        ------
        Refusal
            If no endpoint is free, and none is expected to be in time. Its
            cause is `TIME_LIMIT` if the deadline has passed.
        """
        self._check_deadline()
        unusable = excluded
        if failed_at and not self._has_accepting(excluded):
            unusable = excluded - failed_at
        if not excluded:
            await self._wait_for_reports()
        slot_wait = self._slot_wait(
            is_resumption=is_resumption, may_wait=may_wait
        )
        waiting_since = self._now() if is_resumption else None
        unplaced = UnplacedRequest(
            call=self.call,
            place=lambda: self._permitted(
                self._place_avoiding(unusable, avoided), waiting_since
            ),
            build_refusal=lambda: self.rejection.build_refusal(unusable),
            excluded=frozenset(unusable),
        )
        with self.context.shares.count_waiting(self.call):
            try:
                placement = await slot_wait.place(unplaced)
            except Refusal as refusal:
                if may_wait:
                    self.rejection.schedule_return(refusal, unusable)
                raise
            self.rejection.check_interference(placement, unusable)
            if not is_resumption:
                # A refusal would cut the answer that has begun.
                self.plain.check(placement)
        return placement

    def _check_deadline(self) -> None:
        """Refuse a request that only takes what had arrived at its deadline."""
        if self.call.is_late(self._now()):
            raise Refusal(RefusalCause.TIME_LIMIT)

    def _slot_wait(self, *, is_resumption: bool, may_wait: bool) -> SlotWait:
        slot_waits = self.context.slot_waits
        if not may_wait:
            return slot_waits.immediate
        if is_resumption:
            return slot_waits.resumption
        return slot_waits.for_service(self.call.service)

    def _permitted(
        self, placement: Placement | None, waiting_since: float | None
    ) -> Placement | None:
        """Return a placement unless its retry may not be sent any more.

        The limit on retries counts arrivals. Without this, streams that wait
        for seconds would arrive together with the retries that are decided
        then.

        Parameters
        ----------
        waiting_since
            When a stream began to wait for its resumption, in seconds; None
            for other requests, which do not wait as long.
        """
        if placement is None or waiting_since is None:
            return placement
        budget = self.context.retry_budget(self.call.service.service)
        now = self._now()
        if now - waiting_since <= budget.bounds.placing_seconds:
            return placement
        if not budget.try_acquire(now):
            return None
        self.context.log.info(
            'retry_renewed',
            request_id=self.call.request_id,
            waited_seconds=round(now - waiting_since, 3),
            **budget.state(now).log_fields(),
        )
        return placement

    async def _wait_for_reports(self) -> None:
        """Wait for reports that peers sent while the prompt filled the link.

        Without this, the entry would not know of requests that its peers
        placed while the prompt arrived, which takes 75 ms for 900,000 tokens.
        It would place parts that take seconds to read before these requests,
        at the same engines, while half of the engines are idle.
        """
        if self.call.service.engine is None:
            return
        arrival_seconds = self._now() - self.call.request.arrived_at
        wait = min(
            _MAX_REPORT_WAIT_SECONDS,
            arrival_seconds * _REPORT_WAIT_FRACTION,
        )
        if wait >= _MIN_REPORT_WAIT_SECONDS:
            await asyncio.sleep(wait)

    def _place_avoiding(
        self,
        excluded: Set[EndpointId],
        avoided: Set[EndpointId],
    ) -> Placement | None:
        """Return a placement without the avoided endpoints, if possible."""
        if avoided:
            placement = self._place(excluded | avoided)
            if placement is not None:
                return placement
        return self._place(excluded)

    def _place(self, excluded: Iterable[EndpointId]) -> Placement | None:
        dispatcher = self.context.dispatcher
        service = self.call.service
        if service.engine is None:
            return dispatcher.place_plain(
                service, excluded, self.call.allowed_zones
            )
        request = make_read_request(self.call, self._now())
        return dispatcher.place_model(
            service,
            service.engine,
            request,
            excluded,
            self.call.allowed_zones,
        )

    def _has_accepting(self, excluded: Iterable[EndpointId]) -> bool:
        """Return whether an endpoint that is not excluded accepts a request."""
        candidates = self.context.dispatcher.candidates
        service = self.call.service
        zones = self.call.allowed_zones
        return bool(candidates.accepting(service, excluded, self._now(), zones))

    def _now(self) -> float:
        return self.context.clock.monotonic()
