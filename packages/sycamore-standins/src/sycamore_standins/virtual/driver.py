"""Runs any scheduler against engine models in virtual time.

Requests arrive, the scheduler decides, offers take the network's time, engines
step, and reports come late. It is no simulator of a cluster: one entry, no
faults but slow engines, and nothing that the schedulers do not see.
"""

import random
from collections.abc import Iterable

import msgspec
from sycamore_core.decisions import Dispatch, Refusal, Scheduler
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.states import Outcome, RefusalReason, RetryReason

from ..engine import EngineModel, EngineProfile, StepResult
from .endpoint import Group, VirtualEndpoint
from .results import CallerResult
from .timeline import Timeline
from .workloads import SERVICE, Arrival, endpoint_name

#: One way between an entry and an endpoint, in seconds.
NETWORK_SECONDS = 0.001
#: Interval of load reports, in seconds.
REPORT_SECONDS = 1.0
#: When a declined offer may come again, as the endpoint says, in seconds.
DECLINE_SECONDS = 1.0
#: Factor on the times of a slow engine.
SLOW_FACTOR = 10


class DriverSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet of a run.

    Attributes
    ----------
    slow_engines
        Number of engines that are ten times slower.
    scale
        Factor on the step times of all engines.
    """

    engines: int = 8
    profile: EngineProfile = EngineProfile()
    slow_engines: int = 0
    scale: float = 1
    seed: int = 1


class VirtualDriver:
    """One run; see `run_scheduler`."""

    def __init__(self, scheduler: Scheduler, settings: DriverSettings) -> None:
        self.scheduler = scheduler
        self.timeline = Timeline()
        self.results: dict[RequestId, CallerResult] = {}
        self.groups: dict[str, Group] = {}
        self.places: dict[RequestId, VirtualEndpoint] = {}
        self.endpoints = _build_endpoints(settings)
        self.open_requests = 0
        self._wake: float = 0
        self._steps: dict[EndpointId, float] = {}

    def run(self, arrivals: Iterable[Arrival]) -> list[CallerResult]:
        """Run until every request has its outcome."""
        self.open_requests = 0
        for arrival in arrivals:
            self.open_requests += 1
            self.timeline.at(arrival.request.arrival, self._arrive, arrival)
        for place, endpoint in enumerate(self.endpoints.values()):
            offset = place / len(self.endpoints) * REPORT_SECONDS
            self.scheduler.update_endpoint(endpoint.view(0), 0)
            self.timeline.at(offset, self._report, endpoint)
        running = True
        while self.open_requests and running:
            running = self.timeline.step()
        return list(self.results.values())

    def _arrive(self, arrival: Arrival) -> None:
        request = arrival.request
        result = CallerResult(request, arrival.output_tokens)
        self.results[request.request_id] = result
        answer = self.scheduler.submit(request, self.timeline.now)
        if isinstance(answer, Refusal):
            self._refuse(answer)
            return
        self.timeline.at(
            request.deadline, self._reach_limit, request.request_id
        )
        self._dispatch()

    def _dispatch(self) -> None:
        for decision in self.scheduler.dispatch(self.timeline.now):
            if isinstance(decision, Refusal):
                self._refuse(decision)
                continue
            self.results[decision.request_id].attempts += 1
            self.timeline.at(
                self.timeline.now + NETWORK_SECONDS, self._offer, decision
            )
        wake = self.scheduler.next_wake(self.timeline.now)
        if self._wake <= self.timeline.now or wake < self._wake:
            self._wake = wake
            self.timeline.at(wake, self._dispatch)

    def _offer(self, offer: Dispatch) -> None:
        result = self.results[offer.request_id]
        if result.outcomes:
            return
        later = self.timeline.now + NETWORK_SECONDS
        names = (*offer.members, offer.endpoint)
        members = [self.endpoints[name] for name in names]
        for member in members:
            self._catch_up(member)
        if self._start(offer, members):
            self.places[offer.request_id] = members[-1]
            self.timeline.at(later, self._accept, offer)
        else:
            self.timeline.at(later, self._decline, offer.request_id)
        for touched in members:
            self._follow(touched)

    def _start(self, offer: Dispatch, members: list[VirtualEndpoint]) -> bool:
        result = self.results[offer.request_id]
        sequence = result.sequence(offer.priority)
        now = self.timeline.now
        if not offer.members:
            return members[0].accept(sequence, now)
        group = Group(sequence, members)
        if not group.fits():
            return False
        self.groups[group.name] = group
        return group.start_next(now)

    def _accept(self, offer: Dispatch) -> None:
        self.scheduler.accepted(
            offer.request_id,
            offer.endpoint,
            self.timeline.now,
        )

    def _decline(self, request_id: RequestId) -> None:
        if self.results[request_id].outcomes:
            return
        refusal = Refusal(
            request_id,
            RefusalReason.MEMORY_FULL,
            DECLINE_SECONDS,
        )
        answer = self.scheduler.declined(refusal, self.timeline.now)
        if isinstance(answer, Refusal):
            self._refuse(answer)
        self._dispatch()

    def _follow(self, endpoint: VirtualEndpoint) -> None:
        when = endpoint.engine.next_event()
        known = self._steps.get(endpoint.endpoint)
        if when != known and when < float('inf'):
            self._steps[endpoint.endpoint] = when
            self.timeline.at(when, self._step, endpoint, when)

    def _step(self, endpoint: VirtualEndpoint, when: float) -> None:
        if self._steps.get(endpoint.endpoint) == when:
            self._catch_up(endpoint)
            self._follow(endpoint)

    def _catch_up(self, endpoint: VirtualEndpoint) -> None:
        changed = False
        for step in endpoint.engine.advance(self.timeline.now):
            changed = self._take_step(step) or changed
        if changed:
            self._dispatch()

    def _take_step(self, step: StepResult) -> bool:
        for first in step.first:
            self.results[first].first_token_at = self.timeline.now
            self.scheduler.first_token(first, self.timeline.now)
        for finished in step.finished:
            self._end(finished, Outcome.COMPLETE)
        for handle in step.spans:
            self._continue_group(handle.rpartition('/')[0])
        return bool(step.first or step.finished)

    def _continue_group(self, name: str) -> None:
        group = self.groups.get(name)
        if group is None:
            return
        if not group.start_next(self.timeline.now):
            self._abandon(group.request.request_id)
            answer = self.scheduler.lost(
                group.request.request_id,
                RetryReason.BACKEND_FAILED,
                self.timeline.now,
            )
            if isinstance(answer, Refusal):
                self._refuse(answer)
        for member in group.members:
            self._follow(member)

    def _reach_limit(self, request_id: RequestId) -> None:
        if not self.results[request_id].outcomes:
            self._abandon(request_id)
            self._end(request_id, Outcome.TIMEOUT)
            self._dispatch()

    def _abandon(self, request_id: RequestId) -> None:
        place = self.places.pop(request_id, None)
        if place is not None:
            place.engine.cancel(request_id, self.timeline.now)
        group = self.groups.pop(f'g-{request_id}', None)
        if group is not None:
            group.release(self.timeline.now)

    def _end(self, request_id: RequestId, outcome: Outcome) -> None:
        self._abandon(request_id)
        result = self.results[request_id]
        result.end(outcome, self.timeline.now)
        self.open_requests -= 1
        self.scheduler.finished(request_id, outcome, self.timeline.now)

    def _refuse(self, refusal: Refusal) -> None:
        result = self.results[refusal.request_id]
        result.refuse(refusal, self.timeline.now)
        self.open_requests -= 1

    def _report(self, endpoint: VirtualEndpoint) -> None:
        now = self.timeline.now
        self._catch_up(endpoint)
        self.scheduler.update_endpoint(endpoint.view(now), now)
        self._dispatch()
        self.timeline.at(now + REPORT_SECONDS, self._report, endpoint)


def run_scheduler(
    scheduler: Scheduler,
    arrivals: Iterable[Arrival],
    settings: DriverSettings,
) -> list[CallerResult]:
    """Return what the callers of a run received."""
    return VirtualDriver(scheduler, settings).run(arrivals)


def slowed(profile: EngineProfile, factor: float) -> EngineProfile:
    """Return a profile whose steps take `factor` times as long."""
    return msgspec.structs.replace(
        profile,
        prefill_rate=profile.prefill_rate / factor,
        step_base_seconds=profile.step_base_seconds * factor,
        step_slope_seconds=profile.step_slope_seconds * factor,
    )


def _build_endpoints(
    settings: DriverSettings,
) -> dict[EndpointId, VirtualEndpoint]:
    endpoints: dict[EndpointId, VirtualEndpoint] = {}
    for place in range(settings.engines):
        factor = settings.scale
        if place < settings.slow_engines:
            factor *= SLOW_FACTOR
        draw = random.Random(settings.seed * settings.engines + place).random
        name = endpoint_name(place)
        engine = EngineModel(slowed(settings.profile, factor), draw)
        endpoints[name] = VirtualEndpoint(name, SERVICE, engine)
    return endpoints
