"""HTTP server of the engine: its published protocol."""

import base64

import msgspec
from sycamore_core.errors import BackendError
from sycamore_core.ids import RequestId
from tornado import web
from tornado.iostream import StreamClosedError

from .answers import step_text
from .handlers import EngineHandler, EngineState
from .imports import covered_tokens
from .order_bodies import OrderBody
from .orders import OldFencingError
from .runner import Generation
from .sequences import SequenceRequest
from .spans import ReleaseHandler, SpansHandler
from .wire import (
    CancelBody,
    DoneLine,
    ErrorBody,
    EventBody,
    EventsBody,
    GenerateBody,
    HeldRequest,
    LoadBody,
    ResumeBody,
    TokenLine,
)

_NOT_FOUND = 404
_FAILED = 500


class StreamHandler(EngineHandler):
    """Writes the lines of an answer as they are generated."""

    async def write_lines(self, generation: Generation, after: int) -> None:
        """Write the lines after number `after`, and the last one."""
        self.set_header('Content-Type', 'application/x-ndjson')
        faults = self.runner.faults
        breaks_after = None
        if faults.breaks > 0:
            faults.breaks -= 1
            breaks_after = after + 1 + faults.after_lines
        try:
            await self.write_steps(generation, after + 1, breaks_after)
        except StreamClosedError:
            # The reader went away. The run goes on until it is cancelled, so
            # that the reader can resume it.
            return

    async def write_steps(
        self,
        generation: Generation,
        sequence: int,
        breaks_after: int | None,
    ) -> None:
        """Write the lines from `sequence` on until the end or a break."""
        while generation.outcome is None or sequence < generation.steps:
            await generation.wait_beyond(sequence)
            while sequence < generation.steps:
                if sequence == breaks_after:
                    await self.flush()
                    self.break_off()
                    return
                self.write_line(_token_line(generation, sequence))
                sequence += 1
            await self.flush()
        done = DoneLine(
            outcome=generation.outcome,
            output_tokens=generation.steps,
        )
        self.write_line(done)
        await self.finish()

    def write_line(self, line: msgspec.Struct) -> None:
        """Write one line of JSON."""
        self.write(msgspec.json.encode(line))
        self.write(b'\n')

    def break_off(self) -> None:
        """Close the connection in the middle of the answer."""
        self.request.connection.close()


class GenerateHandler(StreamHandler):
    """Runs a request."""

    async def post(self) -> None:
        """Take a `GenerateBody` and stream the answer."""
        body = self.read(GenerateBody)
        if self.runner.faults.failures > 0:
            self.runner.faults.failures -= 1
            self.send(ErrorBody('asked to fail'), _FAILED)
            return
        try:
            generation = self.runner.submit(
                _sequence_request(body),
                base64.b64decode(body.prompt or ''),
            )
        except BackendError as error:
            self.send_error_body(error)
            return
        await self.write_lines(generation, -1)


class ResumeHandler(StreamHandler):
    """Streams the rest of an answer."""

    async def post(self) -> None:
        """Take a `ResumeBody` and stream the lines after it."""
        body = self.read(ResumeBody)
        generation = self.runner.generations.get(body.request_id)
        if generation is None:
            self.send(ErrorBody('not known'), _NOT_FOUND)
            return
        await self.write_lines(generation, body.after)


class CancelHandler(EngineHandler):
    """Ends a run."""

    def post(self) -> None:
        """Take a `CancelBody`."""
        cancelled = self.runner.cancel(self.read(CancelBody).request_id)
        self.send({'cancelled': cancelled})


class LoadHandler(EngineHandler):
    """Reports the load, with a lag."""

    def get(self) -> None:
        """Answer a `LoadBody`."""
        load = self.runner.model.lagged_load(self.runner.clock.now())
        held = self.runner.model.sequences()
        self.send(
            LoadBody(
                requests=tuple(
                    HeldRequest(request_id, tokens)
                    for request_id, tokens in held.items()
                ),
                **msgspec.structs.asdict(load),
            ),
        )


class EventsHandler(EngineHandler):
    """Publishes cache events, late and with gaps."""

    def get(self) -> None:
        """Answer an `EventsBody`."""
        after = int(self.number('after', 0))
        now = self.runner.clock.now()
        events = tuple(
            EventBody(event.number, event.kind, event.block)
            for event in self.runner.model.events_after(after, now)
        )
        last = events[-1].number if events else after
        self.send(EventsBody(last, events))


class OrdersHandler(EngineHandler):
    """Takes orders."""

    async def post(self) -> None:
        """Take an `OrderBody`."""
        try:
            await self.state.orders.take(self.read(OrderBody))
        except OldFencingError as error:
            self.send_error_body(error)
            return
        self.send(self.state.orders.state())


class StateHandler(EngineHandler):
    """Tells what is loaded."""

    def get(self) -> None:
        """Answer a `StateBody`."""
        self.send(self.state.orders.state())


def _token_line(generation: Generation, sequence: int) -> TokenLine:
    text = step_text(generation.request_id, sequence)
    return TokenLine(sequence, text)


def _sequence_request(body: GenerateBody) -> SequenceRequest:
    return SequenceRequest(
        request_id=RequestId(body.request_id),
        prompt_tokens=body.prompt_tokens,
        max_output_tokens=body.max_output_tokens,
        priority=body.priority,
        blocks=body.blocks,
        imported_tokens=min(covered_tokens(body.imports), body.prompt_tokens),
    )


def routes(state: EngineState) -> list[web.URLSpec]:
    """Return the routes of the published protocol."""
    handlers = {
        'generate': GenerateHandler,
        'resume': ResumeHandler,
        'cancel': CancelHandler,
        'load': LoadHandler,
        'events': EventsHandler,
        'orders': OrdersHandler,
        'state': StateHandler,
        'spans': SpansHandler,
        'spans/release': ReleaseHandler,
    }
    return [
        web.url(f'/v1/{path}', handler, {'state': state})
        for path, handler in handlers.items()
    ]
