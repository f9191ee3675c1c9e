"""A prompt beyond one engine, between two endpoint processes."""

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
    """Two endpoint processes, the second of which leads."""

    engines: list[FakeEngine]
    processes: list[EndpointProcess]
    entry: EntryProbe
    incarnation: Incarnation

    @property
    def addresses(self) -> list[str]:
        return [process.settings.listen for process in self.processes]

    @property
    def leased(self) -> list[int]:
        return [one.parts.memory.leased_tokens for one in self.processes]


async def start(stack: AsyncExitStack, folder: Path) -> Pair:
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
    processes = [EndpointProcess.from_settings(one) for one in settings]
    tasks = [asyncio.create_task(one.run()) for one in processes]
    entry = EntryProbe()
    stack.push_async_callback(entry.node.close)
    for process, task in zip(processes, tasks, strict=True):
        stack.push_async_callback(end, process, task)
    await entry.wait_until_live(settings[0].listen)
    entry.received.clear()
    incarnation = await entry.wait_until_live(settings[1].listen)
    return Pair(engines, processes, entry, incarnation)


async def end(process: EndpointProcess, task: 'asyncio.Task[None]') -> None:
    for record in process.parts.runs.unfinished():
        if record.answer is not None:
            record.answer.acked = len(record.answer.frames) - 1
    process.stop()
    await task


def huge_offer(pair: Pair):
    return make_offer(
        incarnation=pair.incarnation,
        prompt_tokens=1500,
        max_output_tokens=20,
        members=(pair.addresses[0],),
    )


def test_two_engines_serve_one_prompt(tmp_path: Path) -> None:
    async def story() -> None:
        async with AsyncExitStack() as stack:
            pair = await start(stack, tmp_path)
            pair.entry.send(pair.addresses[1], huge_offer(pair))
            frames: list[Frame] = await pair.entry.wait(Frame, count=4)
            assert frames[-1].close.outcome is Outcome.COMPLETE
            handle = pair.engines[1].imports[0]
            assert handle.endswith('@760')
            await wait_until(lambda: pair.leased == [0, 0])
            await wait_until(lambda: not pair.engines[0].spans)

    asyncio.run(story())


def test_member_without_room_leaves_nothing_leased(tmp_path: Path) -> None:
    """A member has filled up since the group was planned.

    The caller is told that no group could be formed, nothing was generated,
    and the memory that the leader had leased comes back.
    """

    async def story() -> None:
        async with AsyncExitStack() as stack:
            pair = await start(stack, tmp_path)
            member = pair.processes[0].parts
            member.memory.capacity_tokens = 100
            pair.entry.send(pair.addresses[1], huge_offer(pair))
            frames: list[Frame] = await pair.entry.wait(Frame)
            close = frames[0].close
            assert close.reason is RefusalReason.GROUP_UNAVAILABLE
            assert not pair.engines[1].started
            await wait_until(lambda: pair.leased == [0, 0])

    asyncio.run(story())


def test_leader_dies_half_way(tmp_path: Path) -> None:
    """The leader dies while a member computes its span.

    Nobody renews the member's lease any more. It runs out, and the engine
    beside the member frees what it holds, so that short turns find room.
    """

    async def story() -> None:
        async with AsyncExitStack() as stack:
            pair = await start(stack, tmp_path)
            pair.engines[0].gate.clear()
            pair.entry.send(pair.addresses[1], huge_offer(pair))
            await wait_until(lambda: pair.engines[0].spans)
            leader = pair.processes[1].parts
            await leader.node.close()
            await wait_until(lambda: pair.leased[0] == 0)
            assert not pair.engines[0].spans
            pair.engines[0].gate.set()

    asyncio.run(story())
