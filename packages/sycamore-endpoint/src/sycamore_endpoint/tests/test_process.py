"""The endpoint process between a fake entry and a fake engine."""

import asyncio
import zlib
from pathlib import Path

from sycamore_core.ids import Incarnation
from sycamore_core.messages import (
    Accepted,
    Ack,
    Cancel,
    Declined,
    Frame,
    LoadReport,
    Reserve,
    Reserved,
    RunReport,
    Withdraw,
)
from sycamore_core.states import (
    CancelReason,
    EndpointPhase,
    Execution,
    Outcome,
    RefusalReason,
)
from tornado.web import Application, RequestHandler

from ..ledger import WINDOW_FRAMES
from .builders import FakeEngine, make_offer, wait_until
from .scene import running


def test_answer_comes_whole(tmp_path: Path) -> None:
    async def story() -> None:
        async with running(tmp_path, FakeEngine(lines=3)) as scene:
            scene.offer()
            await scene.entry.wait(Accepted)
            close = (await scene.closing()).close
            frames: list[Frame] = scene.entry.of_kind(Frame)
            payload = b''.join(frame.payload for frame in frames)
            assert close.outcome is Outcome.COMPLETE
            assert close.frames == 3
            assert close.checksum == zlib.crc32(payload)
            assert payload == b't0 t1 t2 '
            await scene.memory_is_back()

    asyncio.run(story())


def test_repeated_offer_runs_once(tmp_path: Path) -> None:
    """The answer to an offer is lost and the entry sends it again.

    The request must not run a second time.
    """

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            scene.engine.gate.clear()
            offer = scene.offer(idempotent=False)
            scene.entry.send(scene.address, offer, offer)
            await scene.entry.wait(Accepted, count=3)
            scene.engine.gate.set()
            await scene.closing()
            assert len(scene.engine.started) == 1

    asyncio.run(story())


def test_broken_stream_is_resumed(tmp_path: Path) -> None:
    """The connection to the engine breaks in the middle of an answer.

    The guest sees nothing of it: the rest comes, once and in order.
    """

    async def story() -> None:
        engine = FakeEngine(lines=5)
        engine.cut_after = 2
        async with running(tmp_path, engine) as scene:
            scene.offer()
            close = (await scene.closing()).close
            assert close.outcome is Outcome.COMPLETE
            assert close.frames == 5

    asyncio.run(story())


def test_lost_run_ends_as_failed(tmp_path: Path) -> None:
    """The engine dies in the middle of an answer and knows nothing of it.

    The caller is told that it failed, well within its time limit, and not
    that it was not run.
    """

    async def story() -> None:
        engine = FakeEngine(lines=5)
        engine.cut_after = 2
        async with running(tmp_path, engine) as scene:
            engine.gate.clear()
            offer = scene.offer(idempotent=False)
            await wait_until(lambda: bool(engine.started))
            engine.held.clear()
            engine.gate.set()
            close = (await scene.closing()).close
            assert close.outcome is Outcome.FAILED
            withdraw = Withdraw(offer.request_id, offer.attempt)
            scene.entry.send(scene.address, withdraw)
            report = (await scene.entry.wait(RunReport))[0]
            assert report.execution is Execution.RAN
            await scene.memory_is_back()

    asyncio.run(story())


def test_full_engine_is_told_as_not_run(tmp_path: Path) -> None:
    """The engine has no memory although the ledger said so."""

    async def story() -> None:
        engine = FakeEngine()
        engine.full = True
        async with running(tmp_path, engine) as scene:
            offer = scene.offer(idempotent=False)
            close = (await scene.closing()).close
            assert close.reason is RefusalReason.MEMORY_FULL
            withdraw = Withdraw(offer.request_id, offer.attempt)
            scene.entry.send(scene.address, withdraw)
            report = (await scene.entry.wait(RunReport))[0]
            assert report.execution is Execution.NOT_RUN

    asyncio.run(story())


def test_cancelled_run_gives_its_memory_back(tmp_path: Path) -> None:
    """A guest closes the page while the engine computes."""

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            scene.engine.gate.clear()
            offer = scene.offer()
            await wait_until(lambda: bool(scene.engine.started))
            gone = Cancel(offer.request_id, CancelReason.CALLER_GONE)
            scene.entry.send(scene.address, gone)
            await scene.memory_is_back()
            assert scene.engine.cancelled == [offer.request_id]

    asyncio.run(story())


def test_deadline_ends_a_run(tmp_path: Path) -> None:
    """The engine is stuck until the caller's time limit is over."""

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            scene.engine.gate.clear()
            scene.offer(budget=0.5)
            close = (await scene.closing()).close
            assert close.outcome is Outcome.TIMEOUT
            await scene.memory_is_back()

    asyncio.run(story())


def test_run_of_a_silent_entry_is_given_up(tmp_path: Path) -> None:
    """An entry dies and no other one attaches to its run."""

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            scene.engine.gate.clear()
            scene.offer(budget=600)
            await wait_until(lambda: bool(scene.engine.started))
            await scene.memory_is_back()

    asyncio.run(story())


def test_memory_of_an_earlier_process_comes_back(tmp_path: Path) -> None:
    """The endpoint process died while the engine computed.

    The next one finds a run that nobody waits for, and cancels it.
    """

    async def story() -> None:
        engine = FakeEngine()
        engine.held['of-an-earlier-process'] = 900
        async with running(tmp_path, engine):
            await wait_until(lambda: not engine.held)

    asyncio.run(story())


def test_slow_entry_slows_the_engine(tmp_path: Path) -> None:
    """An entry acknowledges nothing, since its caller reads nothing."""

    async def story() -> None:
        lines = WINDOW_FRAMES * 3
        async with running(tmp_path, FakeEngine(lines)) as scene:
            offer = scene.offer()
            await scene.entry.wait(Frame, count=WINDOW_FRAMES)
            record = scene.process.parts.runs.find(offer.request_id)
            assert len(record.answer.frames) == WINDOW_FRAMES
            for sequence in range(0, lines + 1):
                await scene.entry.wait(Frame, count=sequence + 1)
                ack = Ack(offer.request_id, sequence)
                scene.entry.send(scene.address, ack)
            assert (await scene.closing()).close.frames == lines

    asyncio.run(story())


def test_stop_lets_a_run_finish_and_takes_no_other(tmp_path: Path) -> None:
    """An operator replaces the instance while a guest reads an answer."""

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            scene.engine.gate.clear()
            offer = scene.offer()
            await wait_until(lambda: bool(scene.engine.started))
            scene.process.stop()
            await scene.entry.wait_until(lambda: _leaving(scene.entry))
            scene.offer()
            declined = (await scene.entry.wait(Declined))[0]
            assert declined.reason is RefusalReason.DRAINING
            assert declined.execution is Execution.NOT_RUN
            scene.engine.gate.set()
            close = await scene.closing()
            assert close.close.outcome is Outcome.COMPLETE
            assert not scene.task.done()
            ack = Ack(offer.request_id, close.sequence)
            scene.entry.send(scene.address, ack)
            await scene.task

    asyncio.run(story())


def test_leaving_instance_takes_no_new_work(tmp_path: Path) -> None:
    """The platform lists the instance as leaving; no signal has come yet."""

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            row = {'instance': 'e1', 'address': 'x', 'state': 'leaving'}
            scene.platform.instances.append(row)
            await scene.entry.wait_until(lambda: _leaving(scene.entry))

    asyncio.run(story())


def _leaving(entry) -> bool:
    reports: list[LoadReport] = entry.of_kind(LoadReport)
    return any(one.phase is EndpointPhase.DRAINING for one in reports)


def test_offer_to_an_earlier_process_is_unknown(tmp_path: Path) -> None:
    """An offer is on its way while the endpoint process restarts.

    The earlier process may have run it, so nobody is told that it was not.
    """

    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            late = make_offer(incarnation=Incarnation(5), idempotent=False)
            scene.entry.send(scene.address, late)
            declined = (await scene.entry.wait(Declined))[0]
            assert declined.reason is RefusalReason.WRONG_INCARNATION
            assert declined.execution is Execution.UNKNOWN
            assert not scene.engine.started

    asyncio.run(story())


def test_reserved_id_runs_once(tmp_path: Path) -> None:
    async def story() -> None:
        async with running(tmp_path, FakeEngine()) as scene:
            scene.entry.send(scene.address, Reserve('n', 'w', 'chat'))
            reserved = (await scene.entry.wait(Reserved))[0]
            name = reserved.request_id
            scene.offer(request_id=name, bound=True, idempotent=False)
            scene.offer(request_id=name, bound=True, idempotent=False)
            await scene.entry.wait(Accepted, count=2)
            await scene.closing()
            assert scene.engine.started == [name]

    asyncio.run(story())


class DroppingService(RequestHandler):
    """Records each call; the second one loses its connection."""

    calls: list[str] = []

    def post(self) -> None:
        self.calls.append(self.request.headers['Request-Id'])
        if len(self.calls) > 1:
            self.request.connection.stream.close()
            return
        self.write('done')


def test_call_is_not_sent_twice_by_the_client(tmp_path: Path) -> None:
    """A booking application drops a kept connection after it took a deposit.

    The HTTP client would send the deposit once more on a new connection by
    itself, and the family would be charged twice.
    """

    async def story() -> None:
        DroppingService.calls.clear()
        service = Application([('/.*', DroppingService)])
        plain = {'payload': b'', 'prompt_tokens': 0, 'max_output_tokens': 0}
        async with running(
            tmp_path,
            FakeEngine(),
            service,
            'plain',
        ) as scene:
            scene.offer(idempotent=False, **plain)
            await scene.closing()
            scene.offer(idempotent=False, **plain)
            await scene.entry.wait_until(lambda: len(scene.closings) == 2)
            outcomes = {frame.close.outcome for frame in scene.closings}
            assert outcomes == {Outcome.COMPLETE, Outcome.FAILED}
            assert len(DroppingService.calls) == 2

    asyncio.run(story())
