"""The endpoint process between a fake entry and a fake engine."""

import asyncio
import dataclasses
import zlib
from contextlib import asynccontextmanager
from pathlib import Path

from sycamore_core.ids import Incarnation
from sycamore_core.messages import Accepted, Ack, Frame
from sycamore_core.states import Outcome

from ..process import EndpointProcess
from .builders import (
    EntryProbe,
    FakeEngine,
    FakePlatform,
    make_offer,
    make_settings,
    make_tree,
    serving,
)


@dataclasses.dataclass
class Scene:
    """A running endpoint process with its surroundings."""

    engine: FakeEngine
    platform: FakePlatform
    process: EndpointProcess
    entry: EntryProbe
    address: str
    incarnation: Incarnation


@asynccontextmanager
async def running(directory: Path, engine: FakeEngine):
    platform = FakePlatform({})
    async with (
        serving(engine.application()) as backend,
        serving(platform.application()) as platform_url,
    ):
        settings = make_settings(directory, backend, platform_url)
        platform.tree = make_tree(settings.listen)
        process = EndpointProcess.from_settings(settings)
        task = asyncio.create_task(process.run())
        entry = EntryProbe()
        try:
            incarnation = await entry.wait_live(settings.listen)
            yield Scene(
                engine,
                platform,
                process,
                entry,
                settings.listen,
                incarnation,
            )
        finally:
            process.stop()
            await task
            await entry.node.close()


def test_answer_comes_whole(tmp_path: Path) -> None:
    async def story() -> None:
        async with running(tmp_path, FakeEngine(lines=3)) as scene:
            offer = make_offer(incarnation=scene.incarnation)
            scene.entry.send(scene.address, offer)
            await scene.entry.wait(Accepted)
            frames: list[Frame] = await scene.entry.wait(Frame, count=4)
            payload = b''.join(frame.payload for frame in frames)
            close = frames[-1].close
            assert close is not None
            assert close.outcome is Outcome.COMPLETE
            assert close.frames == 3
            assert close.checksum == zlib.crc32(payload)
            assert payload == b't0 t1 t2 '
            scene.entry.send(scene.address, Ack(offer.request_id, 3))

    asyncio.run(story())
