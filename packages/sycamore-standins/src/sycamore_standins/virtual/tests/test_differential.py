"""The scheduler in use against the naive one: same arrivals, same seed."""

import random

import pytest
from sycamore_core.decisions import FairScheduler, NaiveScheduler
from sycamore_core.settings import PolicySettings
from sycamore_core.states import PromptBand

from ...engine import EngineProfile
from ..driver import DriverSettings, run_scheduler
from ..reports import percentile, report_on
from ..workloads import Workload, WorkloadSettings, fleet_settings

PROFILE = EngineProfile()
ENGINES = 4
SECONDS = 30
LEAST_IN_TIME = 0.95
WAKE_SECONDS = 0.03


def build_settings(**overrides):
    fields = {'engines': ENGINES, 'seconds': SECONDS} | overrides
    return WorkloadSettings(**fields)


def is_any(arrival):
    return True


def run_both(settings, slow_engines=0, keep=is_any):
    arrivals = [
        arrival
        for arrival in Workload(settings, PROFILE, seed=1).arrivals()
        if keep(arrival)
    ]
    tree = fleet_settings(settings, PolicySettings(), PROFILE)
    fair = FairScheduler.from_settings(tree, random.Random(1).random)
    driver = DriverSettings(engines=ENGINES, slow_engines=slow_engines)
    return tuple(
        run_scheduler(scheduler, arrivals, driver)
        for scheduler in (NaiveScheduler(), fair)
    )


def short_times(results, without=''):
    return [
        one.first_token_seconds
        for one in results
        if one.request.band == PromptBand.SHORT
        and one.request.workspace != without
        and one.first_token_seconds is not None
    ]


def test_overload_owes_fewer_penalties_and_keeps_its_goodput():
    """Five times as many requests come as the engines can answer.

    Served first come, first served, nearly all are late, and a guest waits
    half a minute to learn of it.
    """
    at_capacity = report_on(run_both(build_settings(load=1))[1], SECONDS)
    both = run_both(build_settings(load=5))
    naive, fair = (report_on(one, SECONDS) for one in both)
    assert fair.penalties < naive.penalties
    assert fair.goodput > 2 * naive.goodput
    assert fair.goodput >= 0.9 * at_capacity.goodput


def test_refusals_come_at_once_or_when_the_target_is_lost():
    results = run_both(build_settings(load=5))[1]
    refused = [one for one in results if one.refusal]
    assert refused
    for one in refused:
        waited = one.ended_at - one.request.arrival
        assert waited <= one.request.target_seconds + WAKE_SECONDS
        assert one.retry_after > 0


def test_short_requests_are_not_slowed_by_long_ones():
    """Archives of up to a million tokens arrive among chat turns.

    A guest whose turn lands behind one waits for seconds.
    """
    settings = build_settings(load=0.6, long_share=0.02, seconds=60)
    both = run_both(settings)
    alone = run_both(
        settings,
        keep=lambda arrival: arrival.request.band != PromptBand.HUGE,
    )
    naive, fair = (
        percentile(short_times(mixed), 0.95)
        / percentile(short_times(one), 0.95)
        for mixed, one in zip(both, alone, strict=True)
    )
    assert fair < 2
    assert naive > 3 * fair


def test_hot_workspace_delays_itself():
    """One school sends thirty times its part for a minute.

    The guests of the others notice nothing; without shares they wait for
    seconds behind it.
    """
    settings = build_settings(load=0.5, hot_workspace=5, hot_factor=30)
    naive, fair = run_both(settings)
    late = [
        one for one in fair if one.request.workspace != 'w5' and not one.in_time
    ]
    assert len(late) <= 0.01 * len(fair)
    mine = percentile(short_times(fair, without='w5'), 0.95)
    assert mine < percentile(short_times(naive, without='w5'), 0.95) / 2


def test_burst_is_over_soon_after_its_end():
    """For five seconds four times the usual load comes.

    Afterwards the queue is worked off at once, not answer by late answer.
    """
    settings = build_settings(
        load=0.6,
        burst_from=5,
        burst_to=10,
        burst_factor=6,
    )
    results = run_both(settings)[1]
    last = max(one.request.arrival for one in results if not one.in_time)
    assert last < 15


def test_slow_engine_is_relieved():
    """One engine of four becomes ten times slower but answers.

    In turns, one request in four lands there and is late.
    """
    naive, fair = (
        report_on(one, SECONDS)
        for one in run_both(
            build_settings(load=0.5, seconds=60), slow_engines=1
        )
    )
    assert round(fair.in_time, 2) >= LEAST_IN_TIME
    assert naive.penalties > 3 * fair.penalties


@pytest.mark.parametrize('tokens', [500_000, 1_000_000])
def test_prompt_beyond_one_engine_ends_in_time(tokens):
    """A reconciliation needs more than twice the memory of an engine.

    Chat turns keep coming; without a hold on its lane it would never find
    room, and without a group no engine could take it.
    """
    settings = build_settings(load=0.4, engines=8)
    arrivals = Workload(settings, PROFILE, seed=1).arrivals()
    first = arrivals[0].request
    longest = type(first)(
        request_id='longest',
        workspace=first.workspace,
        service=first.service,
        band=PromptBand.HUGE,
        prompt_tokens=tokens,
        max_output_tokens=512,
        arrival=first.arrival,
        deadline=first.arrival + 400,
        target_seconds=180,
        penalty=20,
    )
    arrivals.insert(0, type(arrivals[0])(longest, 50))
    tree = fleet_settings(settings, PolicySettings(), PROFILE)
    fair = FairScheduler.from_settings(tree, random.Random(1).random)
    results = run_scheduler(fair, arrivals, DriverSettings(engines=8))
    answer = next(one for one in results if one.request is longest)
    assert answer.in_time
