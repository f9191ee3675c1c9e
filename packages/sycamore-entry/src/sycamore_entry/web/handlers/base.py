"""What the handlers have in common: errors, bodies and lost connections."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from sycamore_core.ids import RequestId
from sycamore_core.states import Execution, RefusalReason
from tornado.web import HTTPError, RequestHandler, stream_request_body

from ...answers import AnswerSink
from ...errors import RefusedError
from ..problems import set_problem
from ..shared import WebContext
from ..sinks import DocumentSink, EventStreamSink

_STREAM_TYPE = 'text/event-stream'
_NOT_FOUND = 404


class BaseHandler(RequestHandler):
    """Answers every error by a problem document."""

    context: WebContext

    def initialize(self, context: WebContext) -> None:
        """Take the shared parts."""
        self.context = context

    @property
    def authorization(self) -> str:
        """The header with the API key."""
        return self.request.headers.get('Authorization', '')

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
        """Answer an error that reached tornado; callers see no trace."""
        _, error, _ = kwargs.get('exc_info', (None, None, None))
        self.send_problem(_as_refusal(error, status_code))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log what is a fault of ours; refusals are logged elsewhere."""
        if not isinstance(value, (RefusedError, HTTPError)):
            self.context.entry.log.error('handler_failed', error=repr(value))


@stream_request_body
class BodyHandler(BaseHandler):
    """Takes a body piece by piece up to a limit that `prepare` sets."""

    def initialize(self, context: WebContext) -> None:
        """Begin with an empty body."""
        super().initialize(context)
        self._pieces: list[bytes] = []
        self._size = 0
        self.max_body_bytes = 0
        self._task: asyncio.Task[None] | None = None

    def check_length(self, limit: int) -> None:
        """Keep no more of the body than `limit`, in bytes.

        What goes wrong if a larger one is refused before it has been read:
        the connection is closed under a caller that is still sending, and a
        reset destroys the refusal on its way. The rest is read and dropped
        instead, up to what the server takes at all.
        """
        self.max_body_bytes = limit

    def data_received(self, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(chunk)
        if self._size > self.max_body_bytes:
            self._pieces.clear()
        else:
            self._pieces.append(chunk)

    def new_request_id(self, workspace: str, service: str) -> RequestId:
        """Return an id for this call, the same for the same caller's key."""
        key = self.terms.idempotency_key
        return self.context.new_request_id(workspace, service, key)

    def take_body(self) -> bytes:
        """Return the whole body and keep none of it.

        Raises
        ------
        RefusedError
            If it was larger than the limit.
        """
        if self._size > self.max_body_bytes:
            raise _too_large(self.max_body_bytes)
        body = b''.join(self._pieces)
        self._pieces.clear()
        return body

    def on_connection_close(self) -> None:
        """Stop serving a caller that went away."""
        if self._task is not None:
            self._task.cancel()

    async def serve(self, exchange: Coroutine[Any, Any, None]) -> None:
        """Run an exchange until its end or that of the connection."""
        self._task = asyncio.create_task(exchange)
        await asyncio.wait((self._task,))
        if not self._task.cancelled():
            self._task.result()

    def choose_sink(self) -> AnswerSink:
        """Return the form of answer that the caller accepts."""
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
