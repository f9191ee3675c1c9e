"""Lateness of an event loop, and what a process did meanwhile."""

import asyncio
import contextlib
import os
import pathlib
import time

import logbook
import pytest

from ...clock import SystemClock
from .. import DelayCause, EventLoopWatch, Log, ProcessTimes
from ..event_loop import CHECK_SECONDS

LATE_SECONDS = 0.6


async def block_loop(seconds: float) -> list[logbook.LogRecord]:
    """Return what a watch logs while the event loop is blocked."""
    observed: list[float] = []
    handler = logbook.TestHandler()
    with handler.applicationbound():
        watch = EventLoopWatch(SystemClock(), Log('test'), observed.append)
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(0)
        time.sleep(seconds + CHECK_SECONDS)
        await asyncio.sleep(CHECK_SECONDS / 2)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
    assert max(observed) == watch.worst_seconds
    return handler.records


async def test_late_event_loop_is_logged() -> None:
    """Guards against callers without an answer for no visible reason."""
    records = await block_loop(LATE_SECONDS)
    assert len(records) == 1
    record = records[0]
    assert record.msg == 'event_loop_late'
    assert record.extra['late_seconds'] >= LATE_SECONDS
    assert record.extra['cpu_seconds'] < LATE_SECONDS / 2


async def test_stopped_process_is_told_from_a_machine_that_waits() -> None:
    """Guards against blaming the disks of the machine for a stopped process."""
    code = f'sleep 0.1; kill -STOP $0; sleep {LATE_SECONDS}; kill -CONT $0'
    stopping = await asyncio.create_subprocess_exec(
        'sh', '-c', code, str(os.getpid())
    )
    handler = logbook.TestHandler()
    with handler.applicationbound():
        watch = EventLoopWatch(SystemClock(), Log('test'), lambda _: None)
        running = asyncio.create_task(watch.run())
        await stopping.wait()
        await asyncio.sleep(2 * CHECK_SECONDS)
        running.cancel()
    causes = {record.extra['cause'] for record in handler.records}
    assert causes == {DelayCause.WAS_STOPPED}


async def test_punctual_event_loop_is_not_logged() -> None:
    assert not await block_loop(0)


@pytest.mark.parametrize(
    ('period', 'cause'),
    [
        (ProcessTimes(cpu_seconds=3), DelayCause.RAN),
        (ProcessTimes(queued_seconds=3), DelayCause.WAITED_FOR_PROCESSOR),
        (ProcessTimes(stolen_seconds=3), DelayCause.PROCESSOR_STOLEN),
        (ProcessTimes(memory_seconds=3), DelayCause.WAITED_FOR_MEMORY),
        (ProcessTimes(disk_seconds=3), DelayCause.WAITED_FOR_DISK),
        (ProcessTimes(cpu_seconds=0.1), DelayCause.UNKNOWN),
    ],
)
def test_cause_is_what_took_most_of_the_time(
    period: ProcessTimes,
    cause: DelayCause,
) -> None:
    assert period.main_cause(seconds=4) is cause


def test_system_without_the_figures_is_tolerated(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start that fails in a container without `/proc`."""
    times = ProcessTimes.read(tmp_path)
    assert times.queued_seconds == times.stolen_seconds == 0
    assert times.cpu_seconds > 0


def test_figures_of_the_system_are_read(tmp_path: pathlib.Path) -> None:
    (tmp_path / 'self').mkdir()
    (tmp_path / 'pressure').mkdir()
    (tmp_path / 'self/schedstat').write_text('5000000000 2000000000 7\n')
    line = 'some avg10=0.00 avg60=0.00 avg300=0.00 total=3500000\nfull\n'
    (tmp_path / 'pressure/memory').write_text(line)
    times = ProcessTimes.read(tmp_path)
    assert times.queued_seconds == 2
    assert times.memory_seconds == pytest.approx(3.5)
    assert times.disk_seconds == 0
