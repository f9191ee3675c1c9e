import random

import pytest
from sycamore_core.decisions import FairScheduler, NaiveScheduler
from sycamore_core.settings import PolicySettings

from ...engine import EngineProfile
from ..driver import DriverSettings, run_scheduler
from ..workloads import Workload, WorkloadSettings, fleet_settings

PROFILE = EngineProfile()


def build_run(kind, settings, seed=1):
    arrivals = Workload(settings, PROFILE, seed).arrivals()
    scheduler = NaiveScheduler()
    if kind == 'fair':
        scheduler = FairScheduler.from_settings(
            fleet_settings(settings, PolicySettings(), PROFILE),
            random.Random(seed).random,
        )
    driver = DriverSettings(engines=settings.engines, seed=seed)
    return scheduler, run_scheduler(scheduler, arrivals, driver)


@pytest.mark.parametrize('kind', ['naive', 'fair'])
@pytest.mark.parametrize('load', [0.5, 3])
def test_every_request_has_exactly_one_outcome(kind, load):
    settings = WorkloadSettings(
        engines=3,
        load=load,
        seconds=15,
        long_share=0.02,
    )
    scheduler, results = build_run(kind, settings)
    assert results
    assert {one.outcomes for one in results} == {1}
    assert not scheduler.snapshot(1000).running
    assert not scheduler.snapshot(1000).waiting


def test_one_seed_gives_one_run():
    settings = WorkloadSettings(engines=2, load=1, seconds=10)
    first, second = (build_run('fair', settings)[1] for _ in range(2))
    times = [one.first_token_at for one in first]
    assert times == [one.first_token_at for one in second]
