"""How fast an engine is and how much it remembers."""

import msgspec


class EngineProfile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Figures of an engine, from a settings file.

    The users supplied no step times. The defaults of `step_base_seconds` and
    `step_slope_seconds` are those of the published fit
    ``t_step(N) = 10 ms + 2.7 ms * N`` ("Running DeepSeek V4.1 Flash in
    production", section 3); a test that depends on them varies them.

    Attributes
    ----------
    memory_tokens
        KV cache of the engine, in tokens.
    block_tokens
        Size of a block of the prefix cache, in tokens.
    prefill_rate
        Prompt tokens computed a second when nothing else runs.
    prefill_chunk_tokens
        Prompt tokens computed in one step at most.
    step_base_seconds, step_slope_seconds
        Time of a step, and what each running sequence adds to it, in seconds.
    max_sequences
        Sequences in the batch at most.
    transfer_rate
        Tokens of KV cache exported or imported a second.
    report_lag_seconds
        Age of the load that the engine reports, in seconds.
    event_loss
        Part of the cache events that are never published, from 0 to 1.
    """

    memory_tokens: int = 400_000
    block_tokens: int = 512
    prefill_rate: float = 20_000
    prefill_chunk_tokens: int = 4096
    step_base_seconds: float = 0.01
    step_slope_seconds: float = 0.0027
    max_sequences: int = 32
    transfer_rate: float = 500_000
    report_lag_seconds: float = 1
    event_loss: float = 0.1
