"""A prompt too long for one engine, served by two endpoint processes."""

import asyncio
import dataclasses
from contextlib import AsyncExitStack
from pathlib import Path

from sycamore_core.ids import Incarnation
from sycamore_core.messages import Frame
from sycamore_core.states import Outcome, RefusalReason

from ...process import EndpointProcess
from ...tests.builders import (
    EntryProbe,
    FakeEngine,
    FakePlatform,
    make_offer,
    make_settings,
    make_tree,
    serve_application,
    wait_until,
)


@dataclasses.dataclass
class Pair:
    """Two endpoint processes; the second is the leader."""

    engines: list[FakeEngine]
    processes: list[EndpointProcess]
    entry: EntryProbe
    incarnation: Incarnation

    @property
    def addresses(self) -> list[str]:
        return [process.settings.listen for process in self.processes]

    @property
    def leased(self) -> list[int]:
        return [
            process.parts.memory.leased_tokens for process in self.processes
        ]


async def start_pair(stack: AsyncExitStack, folder: Path) -> Pair:
    platform = FakePlatform({})
    url = await stack.enter_async_context(
        serve_application(platform.application())
    )
    engines = [FakeEngine(), FakeEngine()]
    settings = []
    for number, engine in enumerate(engines, start=1):
        backend = await stack.enter_async_context(
            serve_application(engine.application())
        )
        settings.append(make_settings(folder, backend, url, f'e{number}'))
    tree = make_tree(settings[0].listen)
    node = dict(tree['endpoints']['e1'], address=settings[1].listen)
    tree['endpoints']['e2'] = node
    platform.tree = tree
    processes = [EndpointProcess.from_settings(item) for item in settings]
    tasks = [asyncio.create_task(process.run()) for process in processes]
    entry = EntryProbe()
    stack.push_async_callback(entry.node.close)
    for process, task in zip(processes, tasks, strict=True):
        stack.push_async_callback(stop_process, process, task)
    await entry.wait_until_live(settings[0].listen)
    entry.received.clear()
    incarnation = await entry.wait_until_live(settings[1].listen)
    return Pair(engines, processes, entry, incarnation)


async def stop_process(
    process: EndpointProcess, task: 'asyncio.Task[None]'
) -> None:
    for record in process.parts.runs.unfinished():
        if record.answer is not None:
            record.answer.last_acknowledged = len(record.answer.frames) - 1
    process.stop()
    await task


def make_long_offer(pair: Pair):
    return make_offer(
        incarnation=pair.incarnation,
        prompt_tokens=1500,
        max_output_tokens=20,
        members=(pair.addresses[0],),
    )


def test_two_engines_serve_one_prompt(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            pair = await start_pair(stack, tmp_path)
            pair.entry.send(pair.addresses[1], make_long_offer(pair))
            frames: list[Frame] = await pair.entry.wait(Frame, count=4)
            assert frames[-1].close.outcome is Outcome.COMPLETE
            handle = pair.engines[1].imports[0]
            assert handle.endswith('@760')
            await wait_until(lambda: pair.leased == [0, 0])
            await wait_until(lambda: not pair.engines[0].spans)

    asyncio.run(scenario())


def test_full_member_leaves_no_leases(tmp_path: Path) -> None:
    """Guard against leaked leases if a member filled up after the planning.

    The caller gets the refusal that no group is available, nothing is
    generated, and the leader releases its memory.
    """

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            pair = await start_pair(stack, tmp_path)
            member = pair.processes[0].parts
            member.memory.capacity_tokens = 100
            pair.entry.send(pair.addresses[1], make_long_offer(pair))
            frames: list[Frame] = await pair.entry.wait(Frame)
            close = frames[0].close
            assert close.reason is RefusalReason.GROUP_UNAVAILABLE
            assert not pair.engines[1].started
            await wait_until(lambda: pair.leased == [0, 0])

    asyncio.run(scenario())


def test_lease_expires_after_the_leader_dies(tmp_path: Path) -> None:
    """Guard against leaked memory if the leader dies during a span.

    The member's lease is no longer renewed. It expires, and the member's
    engine frees the memory for short requests.
    """

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            pair = await start_pair(stack, tmp_path)
            pair.engines[0].gate.clear()
            pair.entry.send(pair.addresses[1], make_long_offer(pair))
            await wait_until(lambda: pair.engines[0].spans)
            leader = pair.processes[1].parts
            await leader.node.close()
            await wait_until(lambda: pair.leased[0] == 0)
            assert not pair.engines[0].spans
            pair.engines[0].gate.set()

    asyncio.run(scenario())
