"""What an engine has to do, as entries tell one another."""

import msgspec

from ..ids import EndpointId

_MS = 1000.0


class Unread(msgspec.Struct, frozen=True, array_like=True):
    """A prompt, or a part of one, that an engine has not read yet.

    Attributes
    ----------
    key
        Names the request; parts of one prompt at several engines share it.
    weight
        How many short turns its promise counts for.
    read_ms
        Time that its reading takes by itself, in milliseconds.
    waited_ms
        Time since it was sent to the engine, in milliseconds.
    slack_ms
        Time until its first event was promised, in milliseconds.
    is_ahead
        Whether it is a part of a split prompt. Engines read such parts ahead
        of all others, the latest first.
    pause_ms
        Longest promised pause of its answer, in milliseconds, where this
        engine will write it; otherwise 0.
    """

    key: str
    weight: float
    read_ms: float
    waited_ms: float
    slack_ms: float
    is_ahead: bool = False
    pause_ms: float = 0

    def aged(self, age_ms: float) -> 'Unread':
        """Return the same some time later."""
        return Unread(
            self.key,
            self.weight,
            self.read_ms,
            self.waited_ms + age_ms,
            self.slack_ms - age_ms,
            self.is_ahead,
            self.pause_ms,
        )


class PausePromise(msgspec.Struct, frozen=True, array_like=True):
    """Longest pause that the callers of some streams were promised.

    Attributes
    ----------
    pause_ms
        Longest pause between two events, in milliseconds.
    weight
        How many short turns the streams count for.
    """

    pause_ms: float
    weight: float


class EngineLoad(msgspec.Struct, kw_only=True, array_like=True):
    """What one engine has to do, as far as an entry knows.

    Attributes
    ----------
    requests
        Requests whose answers it generates or will generate.
    writers
        Those of them that generate already.
    context_tokens
        Sum of the contexts of the writers.
    memory_tokens
        Memory that is taken or spoken for.
    promises
        What was promised to its writers.
    unread
        What it has not read yet.
    """

    requests: int = 0
    writers: int = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    promises: tuple[PausePromise, ...] = ()
    unread: tuple[Unread, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        has_work = bool(self.requests or self.unread)
        return not has_work and not self.memory_tokens

    def merged(self) -> 'EngineLoad':
        """Return the same with one promise for all streams of one pause."""
        weights: dict[float, float] = {}
        for promise in self.promises:
            known = weights.get(promise.pause_ms, 0)
            weights[promise.pause_ms] = known + promise.weight
        promises = tuple(
            PausePromise(pause_ms, weight)
            for pause_ms, weight in weights.items()
        )
        return msgspec.structs.replace(self, promises=promises)

    def add(self, other: 'EngineLoad', age: float) -> None:
        """Add what another entry has there.

        Parameters
        ----------
        age
            Time since the other load was seen, in seconds.
        """
        self.requests += other.requests
        self.writers += other.writers
        self.context_tokens += other.context_tokens
        self.memory_tokens += other.memory_tokens
        if other.promises:
            self.promises = (*self.promises, *other.promises)
        if other.unread:
            aged = [one.aged(age * _MS) for one in other.unread]
            self.unread = (*self.unread, *aged)


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has at one engine."""

    endpoint: EndpointId
    load: EngineLoad
