"""Handlers for the spans of prompts that are beyond one engine."""

from sycamore_core.errors import BackendError

from .handlers import EngineHandler
from .imports import handle_of, is_exported
from .sequences import SpanRequest
from .wire import ErrorBody, ReleaseBody, SpanBody, SpanRow

_NO_IMPORT = 502


class SpansHandler(EngineHandler):
    """Computes and lists spans of prompts beyond one engine."""

    def get(self) -> None:
        """Answer the spans that are held or being computed."""
        rows = [
            SpanRow(span.group, span.span, span.tokens)
            for span in self.runner.model.spans()
        ]
        self.send(rows)

    async def post(self) -> None:
        """Take a `SpanBody`; answer once its KV cache is computed."""
        body = self.read(SpanBody)
        if not await is_exported(body.imports, body.source):
            self.send(ErrorBody('import'), _NO_IMPORT)
            return
        span = SpanRequest(
            group=body.group,
            span=body.span,
            tokens=body.tokens,
            first_token=body.first_token,
        )
        try:
            await self.runner.prepare_span(span)
        except BackendError as error:
            self.send_error_body(error)
            return
        self.send({'handle': handle_of(span)})


class ReleaseHandler(EngineHandler):
    """Frees the spans of a group."""

    def post(self) -> None:
        """Take a `ReleaseBody`."""
        released = self.runner.release(self.read(ReleaseBody).group)
        self.send({'released_tokens': released})
