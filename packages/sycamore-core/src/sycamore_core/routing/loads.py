"""What an engine has to do, as entries tell one another."""

import math

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
    done_ms
        Time until it is read here, in milliseconds.
    slack_ms
        Time until its first event was promised, in milliseconds.
    """

    key: str
    weight: float
    done_ms: float
    slack_ms: float

    def aged(self, age_ms: float) -> 'Unread':
        """Return the same some time later."""
        return Unread(
            self.key,
            self.weight,
            max(0, self.done_ms - age_ms),
            self.slack_ms - age_ms,
        )


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
    backlog_ms
        Time until all prompts that it has are read.
    pause_ms
        Shortest pause that was promised to one of its writers; infinite if
        none was.
    unread
        What it has not read yet.
    """

    requests: int = 0
    writers: int = 0
    context_tokens: int = 0
    memory_tokens: int = 0
    backlog_ms: float = 0
    pause_ms: float = math.inf
    unread: tuple[Unread, ...] = ()

    def add(self, other: 'EngineLoad', age: float) -> None:
        """Add what another entry has there.

        Parameters
        ----------
        age
            Time since the other load was seen, in seconds. Reading has gone
            on meanwhile.
        """
        age_ms = age * _MS
        self.requests += other.requests
        self.writers += other.writers
        self.context_tokens += other.context_tokens
        self.memory_tokens += other.memory_tokens
        self.backlog_ms += max(0, other.backlog_ms - age_ms)
        self.pause_ms = min(self.pause_ms, other.pause_ms)
        if other.unread:
            aged = [one.aged(age_ms) for one in other.unread]
            self.unread = (*self.unread, *aged)


class EngineShare(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has at one engine."""

    endpoint: EndpointId
    load: EngineLoad
