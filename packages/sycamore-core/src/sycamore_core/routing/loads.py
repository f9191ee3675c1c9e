"""Loads of engines, as exchanged between entries."""

import msgspec

from ..ids import EndpointId

_MS_PER_SECOND = 1000.0


class UnreadPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt, or a part of a prompt, that an engine has not read yet.

    Attributes
    ----------
    key
        Identifies the request; the parts of one prompt at several engines
        share the key.
    weight
        Weight of the objective of the request, in equivalent short requests.
    read_ms
        Time to read the prompt on an idle engine, in milliseconds.
    waited_ms
        Time since the prompt was sent to the engine, in milliseconds.
    slack_ms
        Time left until the first event is due, in milliseconds.
    is_ahead
        Whether this is a part of a split prompt. Engines read such parts
        before other prompts, the most recent part first.
    pause_ms
        Objective for the longest pause in the answer, in milliseconds, if
        this engine will generate it; otherwise 0.
    """

    key: str
    weight: float
    read_ms: float
    waited_ms: float
    slack_ms: float
    is_ahead: bool = False
    pause_ms: float = 0

    def aged_by(self, age_ms: float) -> 'UnreadPrompt':
        """Return a copy whose times have advanced by `age_ms`."""
        return UnreadPrompt(
            self.key,
            self.weight,
            self.read_ms,
            self.waited_ms + age_ms,
            self.slack_ms - age_ms,
            self.is_ahead,
            self.pause_ms,
        )


class PauseObjective(msgspec.Struct, frozen=True, array_like=True):
    """Objective for the longest pause in a set of streams.

    Attributes
    ----------
    pause_ms
        Longest pause between two events, in milliseconds.
    weight
        Weight of the streams, in equivalent short requests.
    """

    pause_ms: float
    weight: float


class EngineLoad(msgspec.Struct, kw_only=True, array_like=True):
    """Load of one engine, as far as an entry knows.

    Attributes
    ----------
    requests
        Number of requests whose answers the engine generates or will
        generate.
    writers
        Number of these requests that generate already.
    context_tokens
        Sum of the contexts of the generating requests, in tokens.
    memory_tokens
        Memory in use or reserved, in tokens.
    pause_objectives
        Pause objectives of the generating requests.
    unread
        Prompts that the engine has not read yet.
    """

    requests: int = 0
    writers: int = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    pause_objectives: tuple[PauseObjective, ...] = ()
    unread: tuple[UnreadPrompt, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Whether the engine has no work and no memory in use."""
        has_work = bool(self.requests or self.unread)
        return not has_work and not self.memory_tokens

    @property
    def unread_ms(self) -> float:
        """Time to read all prompts that are not read yet, in milliseconds."""
        return sum(prompt.read_ms for prompt in self.unread)

    def slowed_by(self, slowdown: float) -> 'EngineLoad':
        """Return the load as an engine reads it that is slower by a factor."""
        unread = tuple(
            msgspec.structs.replace(prompt, read_ms=prompt.read_ms * slowdown)
            for prompt in self.unread
        )
        return msgspec.structs.replace(self, unread=unread)

    def with_merged_objectives(self) -> 'EngineLoad':
        """Return a copy with streams of equal pause objective combined."""
        weights: dict[float, float] = {}
        for objective in self.pause_objectives:
            known = weights.get(objective.pause_ms, 0)
            weights[objective.pause_ms] = known + objective.weight
        objectives = tuple(
            PauseObjective(pause_ms, weight)
            for pause_ms, weight in weights.items()
        )
        return msgspec.structs.replace(self, pause_objectives=objectives)

    def add(self, other: 'EngineLoad', age: float) -> None:
        """Add the load that another entry has placed on the engine.

        Parameters
        ----------
        age
            Age of the other load, in seconds.
        """
        self.requests += other.requests
        self.writers += other.writers
        self.context_tokens += other.context_tokens
        self.memory_tokens += other.memory_tokens
        if other.pause_objectives:
            self.pause_objectives = (
                *self.pause_objectives,
                *other.pause_objectives,
            )
        if other.unread:
            aged = [one.aged_by(age * _MS_PER_SECOND) for one in other.unread]
            self.unread = (*self.unread, *aged)


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """Load that one entry has placed on one engine."""

    endpoint: EndpointId
    load: EngineLoad
