"""Heartbeats, load reports and the spreading of settings among peers."""

from ..ids import EndpointId, EntryId, Incarnation, ServiceId, ZoneId
from ..states import EndpointPhase
from .base import BaseMessage


class Heartbeat(BaseMessage, frozen=True):
    """Sign of life of an entry, with the settings version it serves on.

    Attributes
    ----------
    settings_digest, settings_age
        As in `sycamore_core.platform.SettingsClaim`.
    """

    entry: EntryId
    zone: ZoneId
    settings_version: int
    draining: bool = False
    settings_digest: int = 0
    settings_age: float = -1


class LoadReport(BaseMessage, frozen=True):
    """Sign of life of an endpoint process, with its load.

    Attributes
    ----------
    free_tokens, capacity_tokens
        Memory of the engine not leased, and all of it, in tokens.
    running, waiting
        Number of sequences in the engine's batch, and admitted but not yet
        in it.
    backlog_tokens
        Prompt tokens admitted whose prefill is not done.
    long_tokens
        Part of the leased tokens held by prompts of the band `HUGE`.
    service_rate
        Prefill rate seen lately, in tokens a second; 0 if not known.
    step_seconds
        Time between two tokens of a stream seen lately, in seconds.
    cached_blocks
        Blocks that the engine said it caches, newest first, a few only.
    settings_digest, settings_age
        As in `sycamore_core.platform.SettingsClaim`.
    """

    endpoint: EndpointId
    service: ServiceId
    zone: ZoneId
    incarnation: Incarnation
    phase: EndpointPhase
    settings_version: int
    free_tokens: int = 0
    capacity_tokens: int = 0
    running: int = 0
    waiting: int = 0
    backlog_tokens: int = 0
    long_tokens: int = 0
    service_rate: float = 0
    step_seconds: float = 0
    cached_blocks: tuple[int, ...] = ()
    settings_digest: int = 0
    settings_age: float = -1


class SettingsWanted(BaseMessage, frozen=True):
    """Asks a peer for its settings if they are newer than `above`."""

    above: int


class SettingsBody(BaseMessage, frozen=True):
    """A whole published settings tree; version 0 for none.

    Attributes
    ----------
    compressed
        Whether `body` is in the zlib format.
    """

    version: int
    body: bytes
    compressed: bool = False
