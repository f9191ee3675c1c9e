"""What an engine is asked to run, and what it tells of it."""

import msgspec
from sycamore_core.ids import BlockHash, GroupId, RequestId


class SequenceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt that an engine is to continue.

    Attributes
    ----------
    output_tokens
        Tokens after which the answer ends by itself; `max_output_tokens` if 0.
    priority
        Lower is served first.
    imported_tokens
        Part of the prompt whose KV cache is imported from other engines; it is
        not computed and not held here.
    """

    request_id: RequestId
    prompt_tokens: int
    max_output_tokens: int
    output_tokens: int = 0
    priority: int = 0
    blocks: tuple[BlockHash, ...] = ()
    imported_tokens: int = 0

    @property
    def lease_tokens(self) -> int:
        """Memory that the sequence may need at most, in tokens."""
        own = self.prompt_tokens - self.imported_tokens
        return own + self.max_output_tokens

    @property
    def length(self) -> int:
        """Number of tokens that will be generated."""
        return self.output_tokens or self.max_output_tokens


class SpanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A span of a long prompt whose KV cache is to be computed and held.

    Attributes
    ----------
    first_token
        Position of the span in the prompt; the KV cache of all tokens before
        it is imported first, which takes time but no lasting memory.
    """

    group: GroupId
    span: int
    tokens: int
    first_token: int = 0
    priority: int = 0

    @property
    def handle(self) -> str:
        """Name under which the KV cache of the span can be imported."""
        return f'{self.group}/{self.span}'


class Work(msgspec.Struct, kw_only=True, eq=False):
    """One sequence or span inside the engine.

    Attributes
    ----------
    order
        Position in the order of submission.
    ready_at
        When its imports have come, in seconds.
    prefill_left
        Prompt tokens still to be computed.
    pinned
        Number of its blocks that it uses in the prefix cache.
    """

    name: str
    order: int
    priority: int
    ready_at: float
    prefill_left: int
    lease: int
    request: SequenceRequest | None = None
    span: SpanRequest | None = None
    generated: int = 0
    pinned: int = 0
    looked_up: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which the engine serves: by priority, then first come."""
        return (self.priority, self.order)

    @property
    def is_held_span(self) -> bool:
        """Whether it is a span that is computed and only held in memory."""
        return self.span is not None and not self.prefill_left

    @property
    def is_complete(self) -> bool:
        """Whether all tokens of the answer have been generated."""
        if self.request is None:
            return False
        return self.generated >= self.request.length


class StepResult(msgspec.Struct, frozen=True):
    """What one step of the engine has brought.

    Attributes
    ----------
    at
        End of the step, in seconds.
    tokens
        Requests that have each got one more token, in no special order.
    first
        Those of `tokens` for which it was the first one.
    finished
        Those of `tokens` for which it was the last one; their memory is free.
    spans
        Handles of the spans whose KV cache is now ready for export.
    """

    at: float
    tokens: tuple[RequestId, ...] = ()
    first: tuple[RequestId, ...] = ()
    finished: tuple[RequestId, ...] = ()
    spans: tuple[str, ...] = ()


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an engine, in the terms of ``GET /v1/load``.

    Attributes
    ----------
    at
        Time to which the figures belong, in seconds.
    backlog_tokens
        Prompt tokens still to be computed.
    used_tokens, capacity_tokens
        Memory leased and memory in all, in tokens.
    step_seconds
        Time of a step lately, in seconds; 0 if there was none.
    prefill_rate
        Prompt tokens computed a second lately; 0 if none were.
    """

    at: float
    running: int
    waiting: int
    backlog_tokens: int
    used_tokens: int
    capacity_tokens: int
    step_seconds: float
    prefill_rate: float
