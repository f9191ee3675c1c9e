"""Bodies of the engine's published protocol, but for orders."""

import msgspec
from sycamore_core.ids import BlockHash, GroupId, RequestId
from sycamore_core.states import Outcome


class GenerateBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/generate``."""

    request_id: RequestId
    prompt_tokens: int
    max_output_tokens: int
    blocks: tuple[BlockHash, ...] = ()
    priority: int = 0
    prompt: str | None = None
    imports: str | None = None


class ResumeBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/resume``."""

    request_id: RequestId
    after: int = -1


class CancelBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/cancel``."""

    request_id: RequestId


class TokenLine(msgspec.Struct, frozen=True):
    """A line of an answer: one step."""

    sequence: int
    text: str
    tokens: int = 1


class DoneLine(msgspec.Struct, frozen=True, kw_only=True):
    """The last line of an answer."""

    outcome: Outcome
    output_tokens: int
    done: bool = True


class HeldRequest(msgspec.Struct, frozen=True):
    """Memory that one request holds, in tokens."""

    request_id: RequestId
    tokens: int


class LoadBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /v1/load``; `requests` is exact, the rest lags."""

    at: float
    running: int
    waiting: int
    backlog_tokens: int
    used_tokens: int
    capacity_tokens: int
    step_seconds: float
    prefill_rate: float
    requests: tuple[HeldRequest, ...]


class EventBody(msgspec.Struct, frozen=True):
    """One cache event."""

    number: int
    kind: str
    block: BlockHash


class EventsBody(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/events``."""

    last: int
    events: tuple[EventBody, ...]


class SpanBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/spans``."""

    group: GroupId
    span: int
    first_token: int
    tokens: int
    imports: str | None = None
    source: str | None = None
    payload: str | None = None


class ReleaseBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/spans/release``."""

    group: GroupId


class SpanRow(msgspec.Struct, frozen=True):
    """A span that the engine holds."""

    group: GroupId
    span: int
    tokens: int


class ErrorBody(msgspec.Struct, frozen=True):
    """Why the engine refused."""

    error: str
