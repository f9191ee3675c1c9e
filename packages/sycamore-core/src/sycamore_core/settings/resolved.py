"""Types of a published settings tree after inheritance is resolved.

Each field holds the effective value. No field is left unset for the reader to
look up at another level.
"""

from collections.abc import Mapping

import msgspec

from ..ids import (
    EndpointId,
    ModelId,
    RegionId,
    ServiceId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from ..states import EndpointKind, PromptBand
from .values import Penalty, Seconds, Share, TargetShare, Tokens


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a service commits to for one band of prompts.

    Attributes
    ----------
    band
        Size class of the prompts.
    first_token_seconds
        Time to first token that a request must meet, in seconds.
    share
        Part of the requests that must meet it, from 0 to 1.
    penalty
        Fixed amount owed for each request that misses it.
    """

    band: PromptBand
    first_token_seconds: Seconds
    share: TargetShare = 0.95
    penalty: Penalty = 1


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Effective settings of one service of one workspace.

    Attributes
    ----------
    max_prompt_tokens, max_output_tokens
        Largest prompt and largest output accepted, in tokens.
    default_time_limit_seconds
        Time limit of a request whose caller gives none, in seconds; 0 means
        that the caller must give one.
    longest_time_limit_seconds
        Longest time limit that a caller may ask for, in seconds.
    idempotent
        Whether a request may run more than once unless its caller says
        otherwise.
    max_body_bytes
        Largest request body accepted, in bytes.
    """

    kind: EndpointKind = EndpointKind.MODEL
    model: ModelId = ModelId('')
    max_prompt_tokens: int = 1_048_576
    max_output_tokens: int = 4096
    default_time_limit_seconds: float = 0
    longest_time_limit_seconds: float = 3600
    idempotent: bool = True
    max_body_bytes: int = 16_777_216
    targets: tuple[Target, ...] = ()

    def target_for(self, band: PromptBand) -> Target | None:
        """Return the target of a band, or None if the band has no target."""
        for target in self.targets:
            if target.band == band:
                return target
        return None


class WorkspaceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Effective settings of one workspace.

    Attributes
    ----------
    weight
        Share of the capacity relative to the other workspaces.
    api_key_hashes
        SHA-256 of each API key, in hexadecimal. The keys themselves are
        secret and are not published.
    """

    workspace: WorkspaceId
    weight: float = 1
    api_key_hashes: tuple[str, ...] = ()
    services: Mapping[ServiceId, ServiceSettings] = {}


class EndpointSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Published settings of one endpoint of the fleet.

    Attributes
    ----------
    address
        Address on which the endpoint process listens, as
        ``tcp://IP:PORT``.
    draining
        Set by an operator to take the endpoint out of service.
    capacity_tokens
        Memory of the engine, in tokens; 0 for a plain service.
    """

    endpoint: EndpointId
    service: ServiceId
    zone: ZoneId
    address: str
    draining: bool = False
    capacity_tokens: int = 0


class BandLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Largest prompt of each band, in tokens; above `long` it is `HUGE`.

    Attributes
    ----------
    short, medium, long
        Largest prompt of the band, in tokens.
    """

    short: Tokens = 4096
    medium: Tokens = 32_768
    long: Tokens = 100_000

    def band_of(self, prompt_tokens: int) -> PromptBand:
        """Return the band of a prompt.

        Examples
        --------
        >>> BandLimits().band_of(1000).value
        'short'
        """
        if prompt_tokens <= self.short:
            return PromptBand.SHORT
        if prompt_tokens <= self.medium:
            return PromptBand.MEDIUM
        if prompt_tokens <= self.long:
            return PromptBand.LONG
        return PromptBand.HUGE


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What operators choose of the decisions under load.

    Attributes
    ----------
    bands
        Where the bands of prompts end.
    short_emphasis
        From 0 to 1: 1 puts the slowdown of short requests first, 0 the time
        to first token over all lengths.
    long_work_share
        Part of the fleet's memory that prompts of the band `HUGE` may hold.
    floor_share
        Part of the capacity that is divided as guaranteed floors.
    """

    bands: BandLimits = BandLimits()
    short_emphasis: Share = 0.5
    long_work_share: Share = 0.5
    floor_share: Share = 0.5


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A published settings tree after inheritance is resolved.

    Attributes
    ----------
    zones
        Region of each zone.
    operator_key_hashes
        SHA-256 of each operator's key, in hexadecimal.
    """

    version: SettingsVersion
    name: str
    zones: Mapping[ZoneId, RegionId] = {}
    workspaces: Mapping[WorkspaceId, WorkspaceSettings] = {}
    endpoints: Mapping[EndpointId, EndpointSettings] = {}
    policy: PolicySettings = PolicySettings()
    operator_key_hashes: tuple[str, ...] = ()

    def endpoints_of(self, service: ServiceId) -> tuple[EndpointSettings, ...]:
        """Return the endpoints that serve `service`, sorted by name."""
        return tuple(
            self.endpoints[name]
            for name in sorted(self.endpoints)
            if self.endpoints[name].service == service
        )
