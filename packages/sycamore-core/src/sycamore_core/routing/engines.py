"""Cost model of an engine, as published by its service."""

import msgspec

_THOUSAND = 1000
_MILLION = 1_000_000
#: Slowest and fastest reading that plans are computed for, in tokens per
#: millisecond.
_MIN_READ_RATE = 0.001
_MAX_READ_RATE = 1e9
#: Longest time of one step, and of each part of it, in milliseconds.
_MAX_STEP_MS = 1e9
#: Largest count of slots, tokens or steps.
_MAX_COUNT = 1e12


class EngineCosts(msgspec.Struct, frozen=True, kw_only=True):
    """Cost model of the engines of one service.

    An engine runs forward passes. A pass with generating requests consists
    of `pass_steps` steps, each of which may also read a chunk of a prompt.

    Attributes
    ----------
    slots
        Requests for which an engine generates concurrently.
    memory_tokens
        Prompt and answer tokens that fit into the memory of an engine.
    step_ms
        Minimum duration of a step, in milliseconds.
    writer_ms
        Time that each generating request adds to a step, in milliseconds.
    context_ms
        Time that each 1,000 tokens of context of the generating requests add
        to a step, in milliseconds.
    read_tokens_per_ms
        Prompt tokens read per millisecond, excluding attention.
    pair_ms
        Time that attention adds to the reading of a prompt for each million
        pairs of a token and an earlier token, in milliseconds.
    pass_steps
        Steps per pass; the tokens of an answer arrive once per pass.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    writer_ms: float
    context_ms: float
    read_tokens_per_ms: float
    pair_ms: float
    pass_steps: int

    @property
    def is_usable(self) -> bool:
        """Whether plans can be computed from these figures.

        Without this, a rate of zero ends each request with a division by zero,
        and with a negative number of steps a forecast never ends.
        """
        counts = (self.slots, self.memory_tokens, self.pass_steps)
        times = (self.step_ms, self.writer_ms, self.context_ms, self.pair_ms)
        # No comparison with a number that is not a number is true.
        return (
            all(1 <= count <= _MAX_COUNT for count in counts)
            and all(0 <= time_ms <= _MAX_STEP_MS for time_ms in times)
            and _MIN_READ_RATE <= self.read_tokens_per_ms <= _MAX_READ_RATE
        )

    def slowed_by(self, slowdown: float) -> 'EngineCosts':
        """Return the cost model of an engine that is slower by a factor."""
        return msgspec.structs.replace(
            self,
            step_ms=self.step_ms * slowdown,
            writer_ms=self.writer_ms * slowdown,
            context_ms=self.context_ms * slowdown,
            read_tokens_per_ms=self.read_tokens_per_ms / slowdown,
            pair_ms=self.pair_ms * slowdown,
        )

    def read_ms(self, prompt_tokens: int) -> float:
        """Return the time to read a prompt on an idle engine, in milliseconds.

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
        """Return the duration of a pass without reading, in milliseconds.

        Parameters
        ----------
        writers
            Number of generating requests.
        context_tokens
            Sum of the contexts of these requests, in tokens.
        """
        context = self.context_ms * context_tokens / _THOUSAND
        step = self.step_ms + self.writer_ms * writers + context
        return step * self.pass_steps
