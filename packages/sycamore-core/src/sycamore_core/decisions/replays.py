"""Replays of single decisions with the modules that make the decisions."""

import functools
import itertools
from collections.abc import Mapping, Sequence

from ..errors import DecisionError, SettingsError
from ..ids import EndpointId, RequestId, SettingsVersion
from ..settings import FleetSettings, PolicySettings, resolve_tree
from .admission import decide_admission
from .explain_cases import (
    AdmissionCase,
    Case,
    HealthCase,
    PaceCase,
    PlacementCase,
    RetryCase,
    ScheduleCase,
)
from .explanation import Explanation, Figure, figures, shown
from .fair import FairScheduler
from .health import EndpointHealth
from .placement import PrefixPlacement
from .placement_base import PlacementDecision
from .pool import CandidatePool
from .requests import RequestView
from .retries import RetryBudget
from .scheduler import (
    Dispatch,
    Draw,
    Queued,
    Refusal,
    SchedulerSnapshot,
)
from .weight_ramp import WeightRamp

Decision = Queued | Refusal | Dispatch


@functools.singledispatch
def replay(case: Case) -> Explanation:
    """Replay the decision of a case."""
    raise DecisionError(f'cannot replay a {type(case).__name__}')


@replay.register
def _replay_admission(case: AdmissionCase) -> Explanation:
    admission = decide_admission(
        case.request,
        case.estimate,
        case.now,
        _draw_from(case.draws),
    )
    refused = admission.reason is not None
    return Explanation(
        decision='refused' if refused else 'let in',
        reason=admission.reason.value if refused else 'expected in time',
        figures=figures(
            detail=admission.detail,
            retry_after=admission.retry_after,
            expected_first_token=case.estimate.until_first_token,
            queue_seconds=case.estimate.queue_seconds,
            share=case.estimate.share,
            tightness=case.estimate.tightness,
            rank=case.estimate.rank,
        ),
    )


@replay.register
def _replay_placement(case: PlacementCase) -> Explanation:
    settings = FleetSettings(
        version=SettingsVersion(0),
        name='replay',
        zones=case.zones,
        policy=PolicySettings(long_work_share=case.long_work_share),
    )
    placement = PrefixPlacement.from_settings(settings, case.zone)
    for sent in case.earlier:
        placement.index.record(sent.blocks, sent.endpoint, sent.at)
    pool = CandidatePool(case.candidates)
    decision = placement.place(
        case.request,
        pool,
        case.now,
        _draw_from(case.draws),
    )
    return Explanation(
        decision=_destination(decision.endpoint),
        reason=decision.reason.value,
        figures=_placement_figures(placement, pool, case, decision),
    )


@replay.register
def _replay_retry(case: RetryCase) -> Explanation:
    budget = RetryBudget()
    for _ in range(case.answered):
        budget.record_first_attempt(case.now)
        budget.record_answer(case.now)
    available = budget.available(case.now)
    decision = budget.decide(case.failure, case.now, _draw_from(case.draws))
    refused = decision.refusal is not None
    return Explanation(
        decision='refused' if refused else 'tried again',
        reason=decision.verdict.value,
        figures=figures(
            refusal=decision.refusal.value if refused else 'none',
            not_before=decision.not_before,
            retry_after=decision.retry_after,
            retries_left_before=available,
            attempt=case.failure.attempt,
            time_left=case.failure.request.deadline - case.now,
        ),
    )


@replay.register
def _replay_health(case: HealthCase) -> Explanation:
    health = EndpointHealth()
    for seen in sorted(case.seen, key=lambda item: item.at):
        health.weights(case.endpoints, seen.at)
        health.observe(seen.endpoint, seen.observation, seen.at)
    weight = health.weights(case.endpoints, case.now).get(case.endpoint, 0)
    record = health.records.get(case.endpoint)
    if record is None:
        raise DecisionError(f'{case.endpoint!r} is not among the endpoints')
    return Explanation(
        decision=', '.join((record.state.value, shown(weight))),
        reason=record.reason.value if record.reason else 'nothing against it',
        figures=figures(
            latency_ratio=record.latency_ratio,
            median_ratio=health.median_ratio,
            failure_share=record.failure_share,
            failures_in_row=record.consecutive_failures,
            pending=record.pending,
            ejections=record.ejections,
            relieved=health.out_of_service,
            largest_relieved=health.max_out_of_service(),
        ),
    )


@replay.register
def _replay_ramp(case: PaceCase) -> Explanation:
    ramp = WeightRamp()
    before = float(0)
    weight = float(0)
    target = float(0)
    for update in case.updates:
        before = weight
        target = update.targets.get(case.endpoint, 0)
        weights = ramp.update(update.targets, update.at)
        weight = weights.get(case.endpoint, 0)
    return Explanation(
        decision=' '.join(('weight', shown(weight))),
        reason=_ramp_reason(target, weight),
        figures=figures(target=target, weight_before=before),
    )


def _ramp_reason(target: float, weight: float) -> str:
    if not target:
        return 'target 0 is followed at once'
    if weight == target:
        return 'at its target'
    return 'on its way to the target, or within the hysteresis'


def _placement_figures(
    placement: PrefixPlacement,
    pool: CandidatePool,
    case: PlacementCase,
    decision: PlacementDecision,
) -> tuple[Figure, ...]:
    items = list(
        figures(
            matched_blocks=decision.matched_blocks,
            new_tokens=decision.new_tokens,
            expected_seconds=decision.expected_seconds,
            retry_after=decision.retry_after,
            members=', '.join(decision.members),
        )
    )
    matches = placement.index.matches(case.request.prefix_blocks, case.now)
    for candidate in pool:
        endpoint = candidate.view.endpoint
        estimate = placement.costs.estimate(
            case.request,
            candidate,
            matches.blocks.get(endpoint, 0),
        )
        seconds = shown(estimate.total_seconds)
        items.append(Figure(f'first token at {endpoint}', seconds))
    return tuple(items)


def _draw_from(draws: Sequence[float]) -> Draw:
    return functools.partial(next, itertools.cycle(draws or (0.5,)))


def _destination(endpoint: EndpointId | None) -> str:
    return f'sent to {endpoint}' if endpoint else 'waits'


@replay.register
def _replay_schedule(case: ScheduleCase) -> Explanation:
    if not case.requests:
        raise DecisionError('the case contains no requests')
    try:
        settings = resolve_tree(bytes(case.tree))
    except SettingsError as error:
        raise DecisionError(f'invalid settings tree: {error}') from error
    scheduler = FairScheduler.from_settings(
        settings,
        _draw_from(case.draws),
        case.zone,
    )
    for view in case.endpoints:
        scheduler.update_endpoint(view, case.requests[0].arrival)
    decisions = _decide_all(scheduler, case.requests)
    last = case.requests[-1]
    snapshot = scheduler.snapshot(last.arrival)
    return _schedule_explanation(decisions[last.request_id], snapshot)


def _decide_all(
    scheduler: FairScheduler,
    requests: Sequence[RequestView],
) -> Mapping[RequestId, Decision]:
    decisions: dict[RequestId, Decision] = {}
    for request in requests:
        answer = scheduler.submit(request, request.arrival)
        decisions[request.request_id] = answer
        for decision in scheduler.dispatch(request.arrival):
            decisions[decision.request_id] = decision
    return decisions


def _schedule_explanation(
    decision: Decision,
    snapshot: SchedulerSnapshot,
) -> Explanation:
    load_figures = figures(waiting=snapshot.waiting, running=snapshot.running)
    if isinstance(decision, Dispatch):
        return Explanation(
            decision=_destination(decision.endpoint),
            reason=decision.reason,
            figures=(*figures(priority=decision.priority), *load_figures),
        )
    if isinstance(decision, Refusal):
        return Explanation(
            decision='refused',
            reason=decision.reason.value,
            figures=(
                *figures(
                    detail=decision.detail,
                    retry_after=decision.retry_after,
                ),
                *load_figures,
            ),
        )
    return Explanation(
        decision='waits',
        reason='queued',
        figures=(*figures(expected_wait=decision.expected_wait), *load_figures),
    )
