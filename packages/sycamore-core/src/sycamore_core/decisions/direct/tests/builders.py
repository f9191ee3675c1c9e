"""Engines and requests for the placement tests."""

from ....ids import EndpointId
from ....routing import EngineCosts, EngineLoad, PauseObjective, UnreadPrompt
from ..engine_harm import Candidate
from ..plan import ReadRequest

COSTS = EngineCosts(
    slots=8,
    memory_tokens=315_000,
    step_ms=0.85,
    writer_ms=0.0085,
    context_ms=0.00285,
    read_tokens_per_ms=177,
    pair_ms=0.184,
    pass_steps=51,
)


def engine(number: int, **load: object) -> Candidate:
    return Candidate(EndpointId(f'e{number}'), EngineLoad(**load))


def idle_engines(count: int, first: int = 0) -> list[Candidate]:
    return [engine(number) for number in range(first, first + count)]


def generating_engines(
    count: int,
    writers: int = 4,
    first: int = 100,
) -> list[Candidate]:
    """Return engines that generate short answers."""
    return [
        engine(
            number,
            requests=writers,
            writers=writers,
            context_tokens=writers * 5000,
            memory_tokens=writers * 6500,
            pause_objectives=(PauseObjective(250.0, writers),),
        )
        for number in range(first, first + count)
    ]


def reading_engine(
    number: int,
    done_ms: float,
    key: str = 'long',
    weight: float = 20,
    slack_ms: float = 2500,
) -> Candidate:
    """Return an engine that reads a part of a long prompt."""
    return engine(
        number,
        unread=(
            UnreadPrompt(key, weight, done_ms, 0, slack_ms, is_ahead=True),
        ),
    )


def short_request(tokens: int = 4960) -> ReadRequest:
    """Return a request that one engine reads alone."""
    return ReadRequest(
        prompt_tokens=tokens,
        answer_tokens=1700,
        objective_ms=300,
        pause_ms=250,
    )


def long_request(
    tokens: int = 154_000, objective_ms: float = 3000
) -> ReadRequest:
    """Return a request with a long prompt."""
    return ReadRequest(
        prompt_tokens=tokens,
        answer_tokens=900,
        objective_ms=objective_ms,
        pause_ms=1000,
    )
