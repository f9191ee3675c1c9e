"""Bodies of the test hooks of the engine."""

import msgspec
from sycamore_core.ids import RequestId


class EngineFaults(msgspec.Struct, kw_only=True):
    """How the engine misbehaves, as a test wants it.

    Attributes
    ----------
    stalled
        Whether steps stand still.
    failures
        Number of calls of generate to answer with 500 from now on.
    breaks
        Number of streams whose connection is closed after `after_lines`; the
        run goes on.
    aborts
        Number of runs that end as failed after `after_lines`.
    slow_factor
        By which each step takes longer.
    """

    stalled: bool = False
    failures: int = 0
    breaks: int = 0
    aborts: int = 0
    after_lines: int = 2
    slow_factor: float = 1


class EngineRun(msgspec.Struct, frozen=True, kw_only=True):
    """How often an engine ran a request id, and what it was given.

    Attributes
    ----------
    prompt_bytes, prompt_checksum
        Length and CRC-32 of the prompt that came with the last run; 0 if none
        came.
    """

    request_id: RequestId
    times: int
    prompt_bytes: int = 0
    prompt_checksum: int = 0


class EngineMemory(msgspec.Struct, frozen=True):
    """Memory of an engine that requests and spans hold now, in tokens."""

    held_tokens: int
    requests: int
    spans: int
