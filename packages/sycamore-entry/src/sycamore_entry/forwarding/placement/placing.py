"""Places one request, waits for a slot, or refuses the request."""

import asyncio
from collections.abc import Iterable, Set

from sycamore_core.ids import EndpointId

from ..callers.refusals import Refusal
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

        Raises
        ------
        Refusal
            If no endpoint is free, and none is expected to be in time.
        """
        unusable = excluded
        if failed_at and not self._has_accepting(excluded):
            unusable = excluded - failed_at
        if not excluded:
            await self._wait_for_reports()
        slot_wait = self._slot_wait(is_resumption=is_resumption)
        unplaced = UnplacedRequest(
            call=self.call,
            place=lambda: self._place_avoiding(unusable, avoided),
            build_refusal=lambda: self.rejection.build_refusal(unusable),
            excluded=frozenset(unusable),
        )
        with self.context.shares.count_waiting(self.call):
            try:
                placement = await slot_wait.place(unplaced)
            except Refusal as refusal:
                self.rejection.schedule_return(refusal, unusable)
                raise
            self.rejection.check_interference(placement, unusable)
            self.plain.check(placement)
        return placement

    def _slot_wait(self, *, is_resumption: bool) -> SlotWait:
        slot_waits = self.context.slot_waits
        if is_resumption:
            return slot_waits.resumption
        return slot_waits.for_service(self.call.service)

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
