"""The work of the demo: what is asked, and when."""

import random
from collections.abc import Iterator
from typing import Self

import msgspec

from ..caller import Ask, PlainAsk
from .plan import ASSISTANT, RECORDS
from .settings import DemoSettings, WorkKind

_ENTRIES = 2
_MODEL_TIME_LIMIT = 60.0
_PLAIN_TIME_LIMIT = 20.0
#: Of three deposits two run under a reserved id. None names a key of its
#: caller: an endpoint process is in doubt about keys until it has been up for
#: longer than the demo takes.
_WAYS = 3
#: An entry counts four bytes of text as a token.
_BYTES_PER_TOKEN = 4
_WORKSPACES = 2


class ModelWork(msgspec.Struct, frozen=True, kw_only=True):
    """One model request of the mix."""

    kind: WorkKind
    workspace: int
    start: float
    prompt_tokens: int
    ask: Ask


class PlainWork(msgspec.Struct, frozen=True, kw_only=True):
    """One deposit or truckload of the mix; `reserved` runs under a bound id."""

    workspace: int
    start: float
    reserved: bool
    ask: PlainAsk


class DemoMix(msgspec.Struct, frozen=True):
    """All that is asked in one run."""

    models: tuple[ModelWork, ...]
    plains: tuple[PlainWork, ...]

    @classmethod
    def from_settings(cls, settings: DemoSettings, seed: int) -> Self:
        """Return a mix; the same seed gives the same one, but for the keys."""
        draw = random.Random(seed)
        return cls(
            tuple(_model_works(settings, draw)),
            tuple(_plain_works(settings, draw)),
        )


def _model_works(
    settings: DemoSettings,
    draw: random.Random,
) -> Iterator[ModelWork]:
    for shape in settings.shapes:
        for number in range(shape.count):
            tokens = draw.randint(shape.smallest, shape.largest)
            name = f'{shape.kind} {number}'
            yield ModelWork(
                kind=shape.kind,
                workspace=number % _WORKSPACES,
                start=draw.uniform(0, settings.spread_seconds),
                prompt_tokens=tokens,
                ask=Ask(
                    service=ASSISTANT,
                    prompt=prompt_of(name, tokens),
                    max_output_tokens=shape.output_tokens,
                    time_limit=_MODEL_TIME_LIMIT,
                    entry=draw.randrange(_ENTRIES),
                ),
            )


def _plain_works(
    settings: DemoSettings,
    draw: random.Random,
) -> Iterator[PlainWork]:
    for number in range(settings.credits):
        yield PlainWork(
            workspace=number % _WORKSPACES,
            start=draw.uniform(0, settings.spread_seconds),
            reserved=number % _WAYS > 0,
            ask=PlainAsk(
                service=RECORDS,
                path='deposits' if number % 2 else 'truckloads',
                business_id=f'entry-{number}',
                time_limit=_PLAIN_TIME_LIMIT,
                entry=draw.randrange(_ENTRIES),
            ),
        )


def prompt_of(name: str, tokens: int) -> str:
    """Return text that an entry counts as about `tokens` tokens."""
    head = f'{name}: '
    return head.ljust(tokens * _BYTES_PER_TOKEN - _BYTES_PER_TOKEN, 'x')
