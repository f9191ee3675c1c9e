"""What callers receive under load: the scheduler in use against a naive one.

Run ``python benchmarks/decisions_under_load.py`` for everything (minutes), or
``--part overload`` for one part, ``--seeds 1 --scales 1`` for fewer runs. All
is virtual time, so the figures depend on the seeds and not on the machine.

A load of 1 is what the engines can do by the average cost of a request with
batches of 16; full batches do somewhat more. ``fair s=1`` puts the slowdown of
short requests first, ``fair s=0`` the time to first token over all lengths.
"""

import argparse
import functools
import itertools
import random
import types
from collections.abc import Callable, Sequence
from statistics import fmean

import msgspec
from sycamore_core.decisions import FairScheduler, NaiveScheduler, Scheduler
from sycamore_core.settings import PolicySettings
from sycamore_core.states import PromptBand
from sycamore_standins.engine import EngineProfile
from sycamore_standins.virtual import (
    Arrival,
    CallerResult,
    DriverSettings,
    RunReport,
    Workload,
    WorkloadSettings,
    fleet_settings,
    report_on,
    run_scheduler,
)
from sycamore_standins.virtual.driver import slowed
from sycamore_standins.virtual.reports import percentile

PROFILE = EngineProfile()
SECONDS = 40
LONG_SHARE = 0.02
LOADS = (0.5, 0.8, 1, 2, 5)
BURST_FROM = 10
BURST_TO = 20
HOT = 5
DEAR = ('w1', 'w4', 'w6')


class Policy(msgspec.Struct, frozen=True):
    """A scheduler to be measured."""

    name: str
    build: Callable[[WorkloadSettings, int], Scheduler]


class Run(msgspec.Struct, frozen=True):
    """What came of one run."""

    results: list[CallerResult]
    report: RunReport


def build_fair(
    emphasis: float,
    settings: WorkloadSettings,
    seed: int,
) -> Scheduler:
    """Return the scheduler in use with a short emphasis."""
    policy = PolicySettings(short_emphasis=emphasis)
    tree = fleet_settings(settings, policy, PROFILE)
    return FairScheduler.from_settings(tree, random.Random(seed).random)


def fair(emphasis: float) -> Policy:
    """Return the policy of a short emphasis."""
    build = functools.partial(build_fair, emphasis)
    return Policy(f'fair s={emphasis:g}', build)


def build_naive(settings: WorkloadSettings, seed: int) -> Scheduler:
    """Return the naive scheduler."""
    return NaiveScheduler()


def is_any(arrival: Arrival) -> bool:
    """Take every request."""
    return True


NAIVE = Policy('naive', build_naive)
POLICIES = (NAIVE, fair(1), fair(0))


def run_once(
    policy: Policy,
    settings: WorkloadSettings,
    seed: int,
    slow_engines: int = 0,
    keep: Callable[[Arrival], bool] = is_any,
) -> Run:
    """Run one policy on one workload."""
    profile = slowed(PROFILE, settings.scale)
    scaled = msgspec.structs.replace(
        settings,
        seconds=settings.seconds * settings.scale,
        burst_from=settings.burst_from * settings.scale,
        burst_to=settings.burst_to * settings.scale,
    )
    arrivals = Workload(scaled, profile, seed).arrivals()
    results = run_scheduler(
        policy.build(settings, seed),
        [arrival for arrival in arrivals if keep(arrival)],
        DriverSettings(
            engines=settings.engines,
            slow_engines=slow_engines,
            scale=settings.scale,
            seed=seed,
        ),
    )
    if any(one.outcomes != 1 for one in results):
        raise RuntimeError('a request had no outcome, or more than one')
    return Run(results, report_on(results, scaled.seconds))


def is_usual(arrival: Arrival) -> bool:
    """Tell whether a request is not of the longest band."""
    return arrival.request.band != PromptBand.HUGE


def times_of(run: Run, band: PromptBand) -> list[float]:
    """Return the times to first token of a band."""
    return [
        one.first_token_seconds
        for one in run.results
        if one.request.band == band and one.first_token_seconds is not None
    ]


def mean_report(runs: Sequence[Run]) -> str:
    """Return a row of the means over some runs."""
    reports = [run.report for run in runs]
    short = [time for run in runs for time in times_of(run, PromptBand.SHORT)]
    huge = [time for run in runs for time in times_of(run, PromptBand.HUGE)]
    cells = [
        f'{fmean(one.in_time for one in reports):7.3f}',
        f'{fmean(one.penalties for one in reports):9.0f}',
        f'{fmean(one.goodput for one in reports):8.2f}',
        *(f'{percentile(short, part):6.2f}' for part in (0.5, 0.95, 0.99)),
        f'{percentile(huge, 0.95):7.1f}',
        f'{fmean(one.fairness for one in reports):6.3f}',
    ]
    return ' '.join(cells)


HEADER = 'in time penalties  goodput short p50  p95   p99  huge p95  fair'


def overload(seeds: Sequence[int], scales: Sequence[float]) -> None:
    """Print what callers receive from half the capacity to five times it."""
    print(f'\n== load, one in fifty prompts over 100k tokens\n{HEADER}')
    worse: list[str] = []
    for scale in scales:
        for load in LOADS:
            settings = WorkloadSettings(
                load=load,
                seconds=SECONDS,
                long_share=LONG_SHARE,
                scale=scale,
            )
            rows = {
                policy.name: [run_once(policy, settings, one) for one in seeds]
                for policy in POLICIES
            }
            for name, runs in rows.items():
                print(f'{mean_report(runs)}  x{scale:g} load {load:g} {name}')
            worse.extend(find_worse(rows, f'x{scale:g} load {load:g}'))
    print('\nnot better than naive:')
    print('\n'.join(worse) or 'nowhere')


def find_worse(rows: dict[str, list[Run]], where: str) -> list[str]:
    """Return in words where a policy gave less than the naive one."""
    naive = rows.pop(NAIVE.name)
    found: list[str] = []
    for name, runs in rows.items():
        found.extend(
            f'  {where} {name}: {words}' for words in slower(runs, naive)
        )
        owed = fmean(run.report.penalties for run in runs)
        before = fmean(run.report.penalties for run in naive)
        if owed > before:
            found.append(f'  {where} {name}: penalties {owed} / {before}')
    return found


def slower(runs: Sequence[Run], naive: Sequence[Run]) -> list[str]:
    """Return in words which times are over a twentieth above the naive."""
    found: list[str] = []
    for band, part in itertools.product(PromptBand, (0.5, 0.95)):
        mine = percentile(merged(runs, band), part)
        other = percentile(merged(naive, band), part)
        if mine > other * 1.05:
            times = f'{mine:.2f} s against {other:.2f} s'
            found.append(f'{band.value} p{part * 100:.0f} {times}')
    return found


def merged(runs: Sequence[Run], band: PromptBand) -> list[float]:
    """Return the times to first token of a band over some runs."""
    return [time for run in runs for time in times_of(run, band)]


def slowdown(seeds: Sequence[int], scales: Sequence[float]) -> None:
    """Print what short requests lose by the longest beside them."""
    print('\n== short requests with long work / alone, load 0.8')
    for scale in scales:
        settings = WorkloadSettings(
            load=0.8,
            seconds=SECONDS * 2,
            long_share=LONG_SHARE,
            scale=scale,
        )
        for policy in POLICIES:
            mixed = [run_once(policy, settings, one) for one in seeds]
            alone = [
                run_once(policy, settings, one, keep=is_usual) for one in seeds
            ]
            short = merged(mixed, PromptBand.SHORT)
            bare = merged(alone, PromptBand.SHORT)
            ratios = [
                percentile(short, part) / percentile(bare, part)
                for part in (0.5, 0.95, 0.99)
            ]
            longest = [
                one
                for run in mixed
                for one in run.results
                if one.request.band == PromptBand.HUGE
            ]
            beyond = [
                one for one in longest if one.request.prompt_tokens > 800_000
            ]
            cells = ' '.join(f'{ratio:5.2f}' for ratio in ratios)
            print(
                f'x{scale:<4g} {policy.name:9} p50 p95 p99 {cells}   in time: '
                f'huge {in_time(longest)}, over 800k {in_time(beyond)}',
            )


def in_time(results: Sequence[CallerResult]) -> str:
    """Return how many of some requests were in time."""
    good = sum(one.in_time for one in results)
    return f'{good}/{len(results)}'


def hot_caller(seeds: Sequence[int], scales: Sequence[float]) -> None:
    """Print what the others lose when one workspace sends twenty times."""
    print('\n== one workspace sends 20 times its part; the others, load 0.5')
    for scale in scales:
        calm = WorkloadSettings(load=0.5, seconds=SECONDS * 2, scale=scale)
        hot = msgspec.structs.replace(calm, hot_workspace=HOT, hot_factor=20)
        for policy in POLICIES:
            before = [run_once(policy, calm, one) for one in seeds]
            after = [run_once(policy, hot, one) for one in seeds]
            cells = [
                f'p95 {percentile(others(runs), 0.95):5.2f} '
                f'p99 {percentile(others(runs), 0.99):5.2f} '
                f'in time {fmean(others_in_time(runs)):.3f}'
                for runs in (before, after)
            ]
            hot_part = fmean(
                run.report.workspaces[f'w{HOT}'].in_time for run in after
            )
            print(
                f'x{scale:<4g} {policy.name:9} calm: {cells[0]}   hot: '
                f'{cells[1]}   hot one in time {hot_part:.3f}',
            )


def others(runs: Sequence[Run]) -> list[float]:
    """Return the times to first token of all but the hot workspace."""
    return [
        one.first_token_seconds
        for run in runs
        for one in run.results
        if one.request.workspace != f'w{HOT}'
        and one.first_token_seconds is not None
        and one.request.band == PromptBand.SHORT
    ]


def others_in_time(runs: Sequence[Run]) -> list[bool]:
    """Return for all but the hot workspace whether they were in time."""
    return [
        one.in_time
        for run in runs
        for one in run.results
        if one.request.workspace != f'w{HOT}'
    ]


def burst(seeds: Sequence[int], scales: Sequence[float]) -> None:
    """Print how a burst of ten seconds at 2.4 times the capacity ends."""
    print('\n== load 0.6, four times as much from 10 to 20 s')
    for scale in scales:
        settings = WorkloadSettings(
            load=0.6,
            seconds=SECONDS * 2,
            burst_from=BURST_FROM,
            burst_to=BURST_TO,
            burst_factor=4,
            scale=scale,
        )
        for policy in POLICIES:
            runs = [run_once(policy, settings, one) for one in seeds]
            missed = [
                one.request.arrival / scale - BURST_TO
                for run in runs
                for one in run.results
                if not one.in_time
            ]
            print(
                f'x{scale:<4g} {policy.name:9} {HEADER}\n'
                f'{"":16}{mean_report(runs)}   last miss '
                f'{max(missed, default=-BURST_FROM):.1f} s after the burst',
            )


def dear_workspaces(seeds: Sequence[int], scales: Sequence[float]) -> None:
    """Print what loans between workspaces save, by the floor's share."""
    print('\n== three of ten workspaces are owed ten times the penalties')
    for load, floor in itertools.product((2, 5), (1, 0.5, 0.1)):
        settings = WorkloadSettings(
            load=load,
            seconds=SECONDS,
            long_share=LONG_SHARE,
            dear_workspaces=DEAR,
        )
        build = functools.partial(build_with_floor, floor)
        policies = [Policy(f'fair floor={floor:g}', build)]
        if floor == 1:
            policies.insert(0, NAIVE)
        for policy in policies:
            runs = [run_once(policy, settings, one) for one in seeds]
            parts = [
                fmean(
                    one.in_time
                    for run in runs
                    for one in run.results
                    if (one.request.workspace in DEAR) == is_dear
                )
                for is_dear in (True, False)
            ]
            owed = fmean(run.report.penalties for run in runs)
            print(
                f'load {load:g} {policy.name:15} penalties {owed:6.0f}   '
                f'in time: dear {parts[0]:.3f}, others {parts[1]:.3f}',
            )


def build_with_floor(
    floor: float,
    settings: WorkloadSettings,
    seed: int,
) -> Scheduler:
    """Return the scheduler in use with a share of the capacity as floors."""
    policy = PolicySettings(floor_share=floor)
    tree = fleet_settings(settings, policy, PROFILE)
    return FairScheduler.from_settings(tree, random.Random(seed).random)


def other_patterns(seeds: Sequence[int], scales: Sequence[float]) -> None:
    """Print a slow engine, a hot key, and both lengths of a hot key."""
    print(f'\n== one of eight engines ten times slower, load 0.6\n{HEADER}')
    slow = WorkloadSettings(load=0.6, seconds=SECONDS)
    for policy in POLICIES:
        runs = [run_once(policy, slow, one, slow_engines=1) for one in seeds]
        print(f'{mean_report(runs)}  {policy.name}')
    print(f'\n== 60 of 100 prompts begin alike, load 1\n{HEADER}')
    hot_key = WorkloadSettings(load=1, seconds=SECONDS, hot_key_share=0.6)
    for policy in POLICIES:
        runs = [run_once(policy, hot_key, one) for one in seeds]
        print(f'{mean_report(runs)}  {policy.name}')


PARTS = types.MappingProxyType(
    {
        'overload': overload,
        'slowdown': slowdown,
        'hot': hot_caller,
        'burst': burst,
        'dear': dear_workspaces,
        'other': other_patterns,
    },
)


def main() -> None:
    """Run the parts asked for."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--part', choices=PARTS, action='append')
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--scales', type=float, nargs='+', default=[0.25, 1, 4])
    chosen = parser.parse_args()
    for name in chosen.part or PARTS:
        PARTS[name](range(1, chosen.seeds + 1), chosen.scales)


if __name__ == '__main__':
    main()
