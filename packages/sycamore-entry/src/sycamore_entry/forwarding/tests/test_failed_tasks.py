"""Background tasks that meet a defect."""

import asyncio
from collections.abc import Iterator
from types import MappingProxyType

import pytest
from sycamore_core import tasks
from sycamore_core.clock import SystemClock
from sycamore_core.routing import RouteKind
from sycamore_core.telemetry import EventLoopWatch

from .. import process as process_module
from ..callers.caller_sweep import CallerSweep
from ..callers.server import ConnectionGate
from ..endpoints.pool import ChannelPool
from ..fleet.keeper import FleetKeeper
from ..mesh.update_sender import UpdateSender
from ..process import ForwardingProcess
from .builders import (
    SNAPSHOT,
    FixedFeed,
    RawEndpoint,
    full_answer,
    reply_with,
    request_bytes,
    route,
)
from .builders_mesh import entries, running
from .builders_overload import LogFields, captured_lines
from .builders_process import running_process

SAFE = route(RouteKind.SAFE)
RESTART_SECONDS = 0.01
RELOAD_INTERVAL_SECONDS = 0.2
#: What each task of a process calls again and again, by the name of the task.
TASKS = MappingProxyType(
    {
        'read platform': (FleetKeeper, 'read_once'),
        'expire endpoints': (FleetKeeper, 'drop_expired'),
        'sweep connections to endpoints': (ChannelPool, 'close_expired'),
        'watch event loop': (EventLoopWatch, '_check'),
        'limit connections': (ConnectionGate, 'run'),
        'sweep callers': (CallerSweep, 'sweep'),
        'reload settings': (ForwardingProcess, 'reload'),
    }
)


class Failing:
    """Fails some times, as a defect does that an input repeats."""

    def __init__(self, method, times: int) -> None:
        self.method = method
        self.times = times
        self.calls = 0

    def __get__(self, owner, kind):
        def call(*arguments, **more):
            self.calls += 1
            if self.calls <= self.times:
                raise self.error()
            return self.method(owner, *arguments, **more)

        return call

    def error(self) -> BaseException:
        return RecursionError('nested too deeply')


class Cancelling(Failing):
    """Is cancelled, as a call that awaits something that was cancelled."""

    def error(self) -> BaseException:
        return asyncio.CancelledError()


@pytest.fixture(autouse=True)
def _restarts_at_once(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.setattr(tasks, 'RESTART_SECONDS', RESTART_SECONDS)
    yield


@pytest.mark.parametrize('name', TASKS)
@pytest.mark.parametrize('kind', [Failing, Cancelling])
async def test_process_goes_on_while_a_task_fails(
    name: str, kind: type[Failing], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fleet that ends itself for an input, again and again."""
    place, method = TASKS[name]
    failing = kind(getattr(place, method), times=3)
    endpoint = RawEndpoint('e1', reply_with(full_answer()))
    lines: list[LogFields] = []
    monkeypatch.setattr(place, method, failing)
    monkeypatch.setattr(
        process_module, '_RELOAD_INTERVAL_SECONDS', RELOAD_INTERVAL_SECONDS
    )
    with captured_lines('task_failed', lines):
        async with running_process(SAFE, endpoint) as tested:
            async with asyncio.timeout(8):
                while failing.calls <= failing.times:
                    await asyncio.sleep(RESTART_SECONDS)
            assert not tested.running.done()
            reader, writer = await tested.connect()
            writer.write(request_bytes())
            answer = await asyncio.wait_for(reader.read(), 5)
            assert answer.startswith(b'HTTP/1.1 200')
            outcomes = tested.process.context.metrics.outcomes
    assert outcomes.failed_tasks.counts == {name: 3}
    assert tuple(line['task'] for line in lines) == (name, name, name)


async def test_exchange_goes_on_while_its_task_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that its peers take for dead."""
    failing = Failing(UpdateSender.send_full, times=3)
    async with running(entries(2)) as (first, second):
        monkeypatch.setattr(UpdateSender, 'send_full', failing)
        async with asyncio.timeout(8):
            while failing.calls < 8:
                await asyncio.sleep(RESTART_SECONDS)
        assert first.mesh.membership.alive_count == 2
        assert second.mesh.membership.alive_count == 2


async def test_defect_in_a_read_counts_as_a_failed_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a revision that is never left behind."""
    keeper = FleetKeeper(FixedFeed(SNAPSHOT), SystemClock())
    failing = Failing(FleetKeeper._apply_snapshot, times=2)
    monkeypatch.setattr(FleetKeeper, '_apply_snapshot', failing)
    lines: list[LogFields] = []
    with captured_lines('read_failed', lines):
        for _ in range(3):
            await keeper.read_once()
    assert keeper.is_ready
    assert len(lines) == 2
    assert 'nested too deeply' in str(lines[0]['error'])
