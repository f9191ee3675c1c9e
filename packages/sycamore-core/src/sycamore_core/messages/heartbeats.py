"""Heartbeats, load reports and the exchange of settings between peers."""

from ..ids import EndpointId, EntryId, Incarnation, ServiceId, ZoneId
from ..states import EndpointPhase
from .base import BaseMessage


class Heartbeat(BaseMessage, frozen=True):
    """Heartbeat of an entry, with the settings version that it uses.

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
    """Heartbeat of an endpoint process, with its load.

    Attributes
    ----------
    free_tokens, capacity_tokens
        Unleased memory and total memory of the engine, in tokens.
    running, waiting
        Number of sequences in the batch of the engine, and number of
        admitted sequences that are not yet in the batch.
    backlog_tokens
        Admitted prompt tokens whose prefill is not complete.
    long_tokens
        Leased tokens of prompts in the band `HUGE`.
    service_rate
        Recent prefill rate, in tokens per second; 0 if not known.
    step_seconds
        Recent time between two tokens of a stream, in seconds.
    cached_blocks
        The most recent blocks that the engine reports as cached, newest
        first.
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
    """Requests the settings of a peer if they are newer than `above`."""

    above: int


class SettingsBody(BaseMessage, frozen=True):
    """A complete published settings tree; version 0 if there is none.

    Attributes
    ----------
    compressed
        Whether `body` is in the zlib format.
    """

    version: int
    body: bytes
    compressed: bool = False
