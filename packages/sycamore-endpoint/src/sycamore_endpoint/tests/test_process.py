"""Tests of the endpoint process with a fake entry and a fake engine."""

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
from .running_endpoint import run_endpoint


def test_answer_is_complete(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine(lines=3)) as endpoint:
            endpoint.offer()
            await endpoint.entry.wait(Accepted)
            close = (await endpoint.wait_for_closing_frame()).close
            frames: list[Frame] = endpoint.entry.of_kind(Frame)
            payload = b''.join(frame.payload for frame in frames)
            assert close.outcome is Outcome.COMPLETE
            assert close.frames == 3
            assert close.checksum == zlib.crc32(payload)
            assert payload == b't0 t1 t2 '
            await endpoint.wait_for_memory_release()

    asyncio.run(scenario())


def test_repeated_offer_runs_once(tmp_path: Path) -> None:
    """Guard against a second run of an offer that the entry repeats.

    The entry repeats an offer if the answer to it is lost.
    """

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            endpoint.engine.gate.clear()
            offer = endpoint.offer(idempotent=False)
            endpoint.entry.send(endpoint.address, offer, offer)
            await endpoint.entry.wait(Accepted, count=3)
            endpoint.engine.gate.set()
            await endpoint.wait_for_closing_frame()
            assert len(endpoint.engine.started) == 1

    asyncio.run(scenario())


def test_broken_stream_is_resumed(tmp_path: Path) -> None:
    """Guard against lost or repeated lines after a broken connection.

    The connection to the engine breaks in the middle of an answer.
    """

    async def scenario() -> None:
        engine = FakeEngine(lines=5)
        engine.cut_after = 2
        async with run_endpoint(tmp_path, engine) as endpoint:
            endpoint.offer()
            close = (await endpoint.wait_for_closing_frame()).close
            assert close.outcome is Outcome.COMPLETE
            assert close.frames == 5

    asyncio.run(scenario())


def test_lost_run_ends_as_failed(tmp_path: Path) -> None:
    """Guard against a lost run that hangs or is reported as not run.

    The engine restarts in the middle of an answer and no longer knows the
    run. The run must fail well within its time limit.
    """

    async def scenario() -> None:
        engine = FakeEngine(lines=5)
        engine.cut_after = 2
        async with run_endpoint(tmp_path, engine) as endpoint:
            engine.gate.clear()
            offer = endpoint.offer(idempotent=False)
            await wait_until(lambda: bool(engine.started))
            engine.held_tokens.clear()
            engine.gate.set()
            close = (await endpoint.wait_for_closing_frame()).close
            assert close.outcome is Outcome.FAILED
            withdraw = Withdraw(offer.request_id, offer.attempt)
            endpoint.entry.send(endpoint.address, withdraw)
            report = (await endpoint.entry.wait(RunReport))[0]
            assert report.execution is Execution.RAN
            await endpoint.wait_for_memory_release()

    asyncio.run(scenario())


def test_full_engine_is_reported_as_not_run(tmp_path: Path) -> None:
    """The engine refuses a run although the ledger has free memory."""

    async def scenario() -> None:
        engine = FakeEngine()
        engine.full = True
        async with run_endpoint(tmp_path, engine) as endpoint:
            offer = endpoint.offer(idempotent=False)
            close = (await endpoint.wait_for_closing_frame()).close
            assert close.reason is RefusalReason.MEMORY_FULL
            withdraw = Withdraw(offer.request_id, offer.attempt)
            endpoint.entry.send(endpoint.address, withdraw)
            report = (await endpoint.entry.wait(RunReport))[0]
            assert report.execution is Execution.NOT_RUN

    asyncio.run(scenario())


def test_cancelled_run_releases_its_memory(tmp_path: Path) -> None:
    """Guard against leaked memory when a caller leaves during a run."""

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            endpoint.engine.gate.clear()
            offer = endpoint.offer()
            await wait_until(lambda: bool(endpoint.engine.started))
            gone = Cancel(offer.request_id, CancelReason.CALLER_GONE)
            endpoint.entry.send(endpoint.address, gone)
            await endpoint.wait_for_memory_release()
            assert endpoint.engine.cancelled == [offer.request_id]

    asyncio.run(scenario())


def test_deadline_ends_a_run(tmp_path: Path) -> None:
    """Guard against a run that outlives its deadline on a stuck engine."""

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            endpoint.engine.gate.clear()
            endpoint.offer(budget=0.5)
            close = (await endpoint.wait_for_closing_frame()).close
            assert close.outcome is Outcome.TIMEOUT
            await endpoint.wait_for_memory_release()

    asyncio.run(scenario())


def test_run_of_a_silent_entry_is_cancelled(tmp_path: Path) -> None:
    """Guard against leaked memory when an entry dies during a run.

    No other entry attaches to the run.
    """

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            endpoint.engine.gate.clear()
            endpoint.offer(budget=600)
            await wait_until(lambda: bool(endpoint.engine.started))
            await endpoint.wait_for_memory_release()

    asyncio.run(scenario())


def test_memory_of_an_earlier_process_is_released(tmp_path: Path) -> None:
    """Guard against leaked memory after a crash of the endpoint process.

    The next process finds a run in the engine that has no owner and must
    cancel it.
    """

    async def scenario() -> None:
        engine = FakeEngine()
        engine.held_tokens['of-an-earlier-process'] = 900
        async with run_endpoint(tmp_path, engine):
            await wait_until(lambda: not engine.held_tokens)

    asyncio.run(scenario())


def test_slow_entry_slows_the_engine(tmp_path: Path) -> None:
    """Guard against unlimited buffering while an entry acknowledges nothing."""

    async def scenario() -> None:
        lines = WINDOW_FRAMES * 3
        async with run_endpoint(tmp_path, FakeEngine(lines)) as endpoint:
            offer = endpoint.offer()
            await endpoint.entry.wait(Frame, count=WINDOW_FRAMES)
            record = endpoint.process.parts.runs.find(offer.request_id)
            assert len(record.answer.frames) == WINDOW_FRAMES
            for sequence in range(0, lines + 1):
                await endpoint.entry.wait(Frame, count=sequence + 1)
                ack = Ack(offer.request_id, sequence)
                endpoint.entry.send(endpoint.address, ack)
            assert (
                await endpoint.wait_for_closing_frame()
            ).close.frames == lines

    asyncio.run(scenario())


def test_stop_lets_a_run_finish_and_accepts_no_other(tmp_path: Path) -> None:
    """Guard against a lost answer when an operator stops an instance."""

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            endpoint.engine.gate.clear()
            offer = endpoint.offer()
            await wait_until(lambda: bool(endpoint.engine.started))
            endpoint.process.stop()
            await endpoint.entry.wait_until(
                lambda: _is_draining(endpoint.entry)
            )
            endpoint.offer()
            declined = (await endpoint.entry.wait(Declined))[0]
            assert declined.reason is RefusalReason.DRAINING
            assert declined.execution is Execution.NOT_RUN
            endpoint.engine.gate.set()
            close = await endpoint.wait_for_closing_frame()
            assert close.close.outcome is Outcome.COMPLETE
            assert not endpoint.task.done()
            ack = Ack(offer.request_id, close.sequence)
            endpoint.entry.send(endpoint.address, ack)
            await endpoint.task

    asyncio.run(scenario())


def test_leaving_instance_accepts_no_new_work(tmp_path: Path) -> None:
    """The platform lists the instance as leaving before any signal."""

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            row = {'instance': 'e1', 'address': 'x', 'state': 'leaving'}
            endpoint.platform.instances.append(row)
            await endpoint.entry.wait_until(
                lambda: _is_draining(endpoint.entry)
            )

    asyncio.run(scenario())


def test_endpoint_removed_from_the_settings_accepts_no_new_work(
    tmp_path: Path,
) -> None:
    """Guard against new work on an endpoint that the settings dropped.

    An entry that has not received the new settings still sends an offer.
    """

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            newer = dict(endpoint.platform.tree, version=2, endpoints={})
            endpoint.platform.tree = newer
            state = endpoint.process.parts.state
            await wait_until(lambda: not state.listed)
            endpoint.offer()
            declined = (await endpoint.entry.wait(Declined))[0]
            assert declined.reason is RefusalReason.DRAINING

    asyncio.run(scenario())


def _is_draining(entry) -> bool:
    reports: list[LoadReport] = entry.of_kind(LoadReport)
    return any(report.phase is EndpointPhase.DRAINING for report in reports)


def test_offer_to_an_earlier_process_is_unknown(tmp_path: Path) -> None:
    """Guard against a false report that a request was not run.

    An offer is in flight while the endpoint process restarts. The earlier
    process may have run the request.
    """

    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            late = make_offer(incarnation=Incarnation(5), idempotent=False)
            endpoint.entry.send(endpoint.address, late)
            declined = (await endpoint.entry.wait(Declined))[0]
            assert declined.reason is RefusalReason.WRONG_INCARNATION
            assert declined.execution is Execution.UNKNOWN
            assert not endpoint.engine.started

    asyncio.run(scenario())


def test_reserved_id_runs_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with run_endpoint(tmp_path, FakeEngine()) as endpoint:
            endpoint.entry.send(endpoint.address, Reserve('n', 'w', 'chat'))
            reserved = (await endpoint.entry.wait(Reserved))[0]
            name = reserved.request_id
            endpoint.offer(request_id=name, bound=True, idempotent=False)
            endpoint.offer(request_id=name, bound=True, idempotent=False)
            await endpoint.entry.wait(Accepted, count=2)
            await endpoint.wait_for_closing_frame()
            assert endpoint.engine.started == [name]

    asyncio.run(scenario())


def test_engine_is_ordered_to_load_its_model(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine = FakeEngine()
        async with run_endpoint(tmp_path, engine, model='m1'):
            await wait_until(lambda: bool(engine.orders))
            order = engine.orders[0]
            assert order['model'] == 'm1'
            assert order['fencing'] > 1 << 34

    asyncio.run(scenario())


class DroppingService(RequestHandler):
    """Records each call; drops the connection from the second call on."""

    calls: list[str] = []

    def post(self) -> None:
        self.calls.append(self.request.headers['Request-Id'])
        if len(self.calls) > 1:
            self.request.connection.stream.close()
            return
        self.write('done')


def test_call_is_not_sent_twice_by_the_client(tmp_path: Path) -> None:
    """Guard against a retry by the HTTP client itself.

    The service closes a reused connection after it has received a deposit.
    The client would send the deposit again on a new connection, and the
    customer would be charged twice.
    """

    async def scenario() -> None:
        DroppingService.calls.clear()
        service = Application([('/.*', DroppingService)])
        plain = {'payload': b'', 'prompt_tokens': 0, 'max_output_tokens': 0}
        async with run_endpoint(
            tmp_path,
            FakeEngine(),
            service,
            'plain',
        ) as endpoint:
            endpoint.offer(idempotent=False, **plain)
            await endpoint.wait_for_closing_frame()
            endpoint.offer(idempotent=False, **plain)
            await endpoint.entry.wait_until(
                lambda: len(endpoint.closing_frames) == 2
            )
            outcomes = {
                frame.close.outcome for frame in endpoint.closing_frames
            }
            assert outcomes == {Outcome.COMPLETE, Outcome.FAILED}
            assert len(DroppingService.calls) == 2

    asyncio.run(scenario())
