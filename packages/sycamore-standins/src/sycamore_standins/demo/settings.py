"""The figures of the demo, from its settings file."""

import enum
import pathlib
from typing import Self

import msgspec
from sycamore_core.settings import load_process_settings

from ..engine import EngineProfile

_FILE = pathlib.Path(__file__).with_name('demo.json')


class WorkKind(enum.StrEnum):
    """What a guest, instructor or member wants."""

    CHAT = 'chat turn'
    TIDE = 'tide briefing'
    LOG = 'log query'
    SEASON = 'season reconciliation'
    ARCHIVE = 'archive reconciliation'


class WorkShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many requests of a kind, how large, and how long the answers."""

    kind: WorkKind
    count: int
    smallest: int
    largest: int
    output_tokens: int


class DemoSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines and work of the demo.

    Attributes
    ----------
    credits
        Number of calls that must not run twice.
    spread_seconds
        Time within which all requests arrive, in seconds.
    """

    profile: EngineProfile
    shapes: tuple[WorkShape, ...]
    credits: int
    spread_seconds: float

    @classmethod
    def from_file(cls) -> Self:
        """Read the file that stands beside this module."""
        return load_process_settings(str(_FILE), cls)
