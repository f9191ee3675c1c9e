"""Base classes of the handlers: errors, bodies and lost connections."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.states import Execution, RefusalReason
from sycamore_core.telemetry import error_fields
from tornado.web import HTTPError, RequestHandler, stream_request_body

from ...answers import AnswerSink
from ...errors import RefusedError
from ..problems import set_problem
from ..shared import OpenHandler, WebContext
from ..sinks import DocumentSink, EventStreamSink

_STREAM_TYPE = 'text/event-stream'
_NOT_FOUND = 404


class BaseHandler(RequestHandler, OpenHandler):
    """Answers every error with a problem document."""

    context: WebContext

    def initialize(self, context: WebContext) -> None:
        """Store the shared components."""
        self.context = context
        context.unanswered.add(self)

    @property
    def authorization(self) -> str:
        """The value of the header with the API key."""
        return self.request.headers.get('Authorization', '')

    def refuse_unserved(self, refused: RefusedError) -> None:
        """Refuse the request."""
        self.send_problem(refused)

    def on_finish(self) -> None:
        """Record that the request has an answer."""
        self.context.unanswered.discard(self)

    def on_connection_close(self) -> None:
        """Record that the caller has left."""
        self.context.unanswered.discard(self)
        super().on_connection_close()

    def flush(self, include_footers: bool = False) -> asyncio.Future[None]:
        """Send what was written; announce the close of a stopping entry.

        Callers would otherwise send their next request to a process that is
        about to end, and see the connection closed without an answer.
        """
        if self.context.draining.is_set() and not self._headers_written:
            self.set_header('Connection', 'close')
        return super().flush(include_footers)

    def write_json(self, body: object) -> None:
        """Answer with a JSON document."""
        self.set_header('Content-Type', 'application/json')
        self.finish(msgspec.json.encode(body))

    def send_problem(
        self,
        refused: RefusedError,
        request_id: RequestId | None = None,
    ) -> None:
        """Answer with a problem document and count it."""
        self.context.entry.metrics.refused(refused.reason)
        self.finish(set_problem(self, refused, request_id))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error that reached tornado, without a stack trace."""
        _, error, _ = kwargs.get('exc_info', (None, None, None))
        self.send_problem(_as_refusal(error, status_code))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log internal errors; refusals are logged elsewhere."""
        if not isinstance(value, (RefusedError, HTTPError)):
            self.context.entry.log.error(
                'handler_failed', **error_fields(value)
            )


@stream_request_body
class BodyHandler(BaseHandler):
    """Receives a body in chunks, up to a limit that `prepare` sets."""

    def initialize(self, context: WebContext) -> None:
        """Initialize with an empty body."""
        super().initialize(context)
        self._chunks: list[bytes] = []
        self._size = 0
        self.max_body_bytes = 0
        self._task: asyncio.Task[None] | None = None

    def set_body_limit(self, limit: int) -> None:
        """Set the maximum size of the body, in bytes.

        A larger body is read to its end and discarded, up to the limit of the
        server, before it is refused. An earlier refusal would close the
        connection while the caller is still sending, and the reset could
        destroy the refusal in transit.
        """
        self.max_body_bytes = limit

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self._size += len(chunk)
        if self._size > self.max_body_bytes:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)

    def new_request_id(self, workspace: str, service: str) -> RequestId:
        """Return an id for this call; the same key gives the same id."""
        key = self.terms.idempotency_key
        return self.context.new_request_id(workspace, service, key)

    def pop_body(self) -> bytes:
        """Return the complete body and release the stored chunks.

        Raises
        ------
        RefusedError
            If the body was larger than the limit.
        """
        if self._size > self.max_body_bytes:
            raise _too_large(self.max_body_bytes)
        body = b''.join(self._chunks)
        self._chunks.clear()
        return body

    def refuse_unserved(self, refused: RefusedError) -> None:
        """Refuse the request, unless its exchange has begun."""
        if self._task is None:
            super().refuse_unserved(refused)

    def on_connection_close(self) -> None:
        """Cancel the exchange of a caller that disconnected."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()

    async def serve(self, exchange: Coroutine[Any, Any, None]) -> None:
        """Run an exchange until it ends or the connection closes.

        Raises
        ------
        RefusedError
            If the process waits for no exchange any more.
        """
        open_exchanges = self.context.entry.open
        if open_exchanges.is_ended:
            exchange.close()
            self.context.check_not_draining()
        self._task = open_exchanges.start(exchange)
        await asyncio.wait((self._task,))
        if not self._task.cancelled():
            self._task.result()

    def make_sink(self) -> AnswerSink:
        """Return a sink for the format that the caller accepts."""
        if _STREAM_TYPE in self.request.headers.get('Accept', ''):
            return EventStreamSink(self)
        return DocumentSink(self)


def _too_large(limit: int) -> RefusedError:
    return RefusedError(
        RefusalReason.BODY_TOO_LARGE,
        f'the body is larger than {limit} bytes',
    )


def _as_refusal(error: object, status_code: int) -> RefusedError:
    if isinstance(error, RefusedError):
        return error
    if status_code == _NOT_FOUND:
        return RefusedError(RefusalReason.BAD_REQUEST, 'no such resource')
    if isinstance(error, HTTPError):
        return RefusedError(RefusalReason.BAD_REQUEST, 'not a valid call')
    return RefusedError(
        RefusalReason.BACKEND_FAILED,
        'an internal error',
        execution=Execution.UNKNOWN,
    )
