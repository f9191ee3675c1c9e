"""What an engine's work costs, as its service publishes it."""

import msgspec

_THOUSAND = 1000
_MILLION = 1_000_000


class EngineCosts(msgspec.Struct, frozen=True, kw_only=True):
    """Cost figures of the engines of one service.

    An engine works in passes. A pass in which requests generate makes
    `pass_steps` steps, and each step may also read a chunk of a prompt.

    Attributes
    ----------
    slots
        Requests that an engine generates for at once.
    memory_tokens
        Prompt and answer tokens that fit into an engine.
    step_ms
        Least time of a step, in milliseconds.
    writer_ms
        Added to a step by each request that generates.
    context_ms
        Added to a step by each 1,000 tokens of context of such a request.
    read_tokens_per_ms
        Prompt tokens that are read in a millisecond, attention left aside.
    pair_ms
        Added by each million pairs of a prompt token and an earlier one.
    pass_steps
        Steps of a pass; an answer's tokens arrive once a pass.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    writer_ms: float
    context_ms: float
    read_tokens_per_ms: float
    pair_ms: float
    pass_steps: int

    def read_ms(self, prompt_tokens: int) -> float:
        """Return the time to read a prompt on an idle engine.

        Examples
        --------
        >>> costs = EngineCosts(
        ...     slots=8, memory_tokens=315_000, step_ms=0.85, writer_ms=0.0085,
        ...     context_ms=0.00285, read_tokens_per_ms=177, pair_ms=0.184,
        ...     pass_steps=51,
        ... )
        >>> round(costs.read_ms(154_000))
        3052
        """
        pairs = prompt_tokens * prompt_tokens / 2 / _MILLION
        return prompt_tokens / self.read_tokens_per_ms + pairs * self.pair_ms

    def pass_ms(self, writers: int, context_tokens: int) -> float:
        """Return the time of a pass in which nothing is read.

        Parameters
        ----------
        writers
            Requests that generate.
        context_tokens
            Sum of their contexts.
        """
        context = self.context_ms * context_tokens / _THOUSAND
        step = self.step_ms + self.writer_ms * writers + context
        return step * self.pass_steps
