"""Arrivals by seed: bursts, hot callers and keys, long prompts, overload."""

import math
import random
from collections.abc import Iterator, Mapping
from types import MappingProxyType

import msgspec
from sycamore_core.decisions import RequestView
from sycamore_core.ids import (
    BlockHash,
    EndpointId,
    RequestId,
    ServiceId,
    SettingsVersion,
    WorkspaceId,
    ZoneId,
)
from sycamore_core.settings import (
    BandLimits,
    EndpointSettings,
    FleetSettings,
    PolicySettings,
    ServiceSettings,
    Target,
    WorkspaceSettings,
)
from sycamore_core.states import PromptBand

from ..engine import EngineProfile

SERVICE = ServiceId('assistant')
#: Targets, time limits in seconds and penalties; a prompt of a million tokens
#: takes 50 s on the default engine.
TARGET_SECONDS: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 2,
        PromptBand.MEDIUM: 6,
        PromptBand.LONG: 20,
        PromptBand.HUGE: 180,
    },
)
LIMIT_SECONDS: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 30,
        PromptBand.MEDIUM: 60,
        PromptBand.LONG: 120,
        PromptBand.HUGE: 400,
    },
)
PENALTIES: Mapping[PromptBand, float] = MappingProxyType(
    {
        PromptBand.SHORT: 1,
        PromptBand.MEDIUM: 2,
        PromptBand.LONG: 5,
        PromptBand.HUGE: 20,
    },
)
#: Factor on the penalties of a dear workspace.
DEAR_FACTOR = 10
#: Prompt of the usual request: median and spread of a log-normal, in tokens.
PROMPT_MEDIAN = 2000
PROMPT_SPREAD = 0.9
SHORTEST_PROMPT = 200
#: Length of an answer: median and spread of a log-normal, in tokens.
OUTPUT_MEDIAN = 100
OUTPUT_SPREAD = 0.6
MAX_OUTPUT = 512
#: Prompts beyond a hundred thousand tokens, evenly over the logarithm.
LONG_FROM = 100_001
LONG_TO = 1_000_000
#: Weights of the large workspaces; the others have 1.
LARGE_WEIGHTS = (4, 3, 2)
#: Sequences that share the base of a step when a cost is worked out.
USUAL_BATCH = 16


class WorkloadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What callers send.

    Attributes
    ----------
    load
        Work that arrives, as a part of what all engines can do.
    seconds
        For how long requests arrive, in seconds.
    long_share
        Part of the requests with over a hundred thousand tokens.
    burst_from, burst_to, burst_factor
        Between these times the load is that much higher.
    hot_workspace, hot_factor
        This workspace sends that many times its own part.
    hot_key_share
        Part of the requests that begin with the same blocks.
    dear_workspaces
        Workspaces that are owed `DEAR_FACTOR` times the penalties.
    scale
        Factor on the targets and limits, for slower or faster engines.
    """

    engines: int = 8
    workspaces: int = 10
    load: float = 0.8
    seconds: float = 40
    long_share: float = 0
    burst_from: float = 0
    burst_to: float = 0
    burst_factor: float = 1
    hot_workspace: int = -1
    hot_factor: float = 1
    hot_key_share: float = 0
    dear_workspaces: tuple[str, ...] = ()
    scale: float = 1


class Arrival(msgspec.Struct, frozen=True):
    """A request and how long its answer will be, in tokens."""

    request: RequestView
    output_tokens: int


class Workload:
    """Arrivals of one seed."""

    def __init__(
        self,
        settings: WorkloadSettings,
        profile: EngineProfile,
        seed: int,
    ) -> None:
        self.settings = settings
        self.profile = profile
        self.random = random.Random(seed)
        self.weights = workspace_weights(settings.workspaces)

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals in the order of time."""
        return list(self._generate())

    def mean_cost(self) -> float:
        """Return the engine seconds that a request takes on the average."""
        usual = PROMPT_MEDIAN * math.exp(PROMPT_SPREAD**2 / 2)
        longest = (LONG_TO - LONG_FROM) / math.log(LONG_TO / LONG_FROM)
        share = self.settings.long_share
        prompt = usual * (1 - share) + longest * share
        output = OUTPUT_MEDIAN * math.exp(OUTPUT_SPREAD**2 / 2)
        token = self.profile.step_base_seconds / USUAL_BATCH
        token += self.profile.step_slope_seconds
        return prompt / self.profile.prefill_rate + output * token

    def _generate(self) -> Iterator[Arrival]:
        settings = self.settings
        rate = settings.load * settings.engines / self.mean_cost()
        highest = rate * max(1, settings.burst_factor)
        now: float = 0
        number = 0
        while True:
            now += self.random.expovariate(highest)
            if now >= settings.seconds:
                return
            for workspace in self._senders(rate / highest * self._factor(now)):
                number += 1
                yield self._arrival(number, workspace, now)

    def _factor(self, now: float) -> float:
        if self.settings.burst_from <= now < self.settings.burst_to:
            return self.settings.burst_factor
        return 1

    def _senders(self, part: float) -> list[int]:
        if self.random.random() >= part:
            return []
        places = range(len(self.weights))
        chosen = self.random.choices(places, self.weights)[0]
        if chosen == self.settings.hot_workspace:
            return [chosen for _ in range(round(self.settings.hot_factor))]
        return [chosen]

    def _arrival(self, number: int, workspace: int, now: float) -> Arrival:
        prompt = self._prompt_tokens()
        band = BandLimits().band_of(prompt)
        scale = self.settings.scale
        output = self.random.lognormvariate(
            math.log(OUTPUT_MEDIAN),
            OUTPUT_SPREAD,
        )
        return Arrival(
            RequestView(
                request_id=RequestId(f'r{number}'),
                workspace=WorkspaceId(f'w{workspace}'),
                service=SERVICE,
                band=band,
                prompt_tokens=prompt,
                max_output_tokens=MAX_OUTPUT,
                arrival=now,
                deadline=now + LIMIT_SECONDS[band] * scale,
                target_seconds=TARGET_SECONDS[band] * scale,
                penalty=self._penalty(workspace, band),
                weight=self.weights[workspace],
                prefix_blocks=self._blocks(number, prompt),
            ),
            min(MAX_OUTPUT, max(1, round(output))),
        )

    def _penalty(self, workspace: int, band: PromptBand) -> float:
        if f'w{workspace}' in self.settings.dear_workspaces:
            return PENALTIES[band] * DEAR_FACTOR
        return PENALTIES[band]

    def _prompt_tokens(self) -> int:
        if self.random.random() < self.settings.long_share:
            exponent = self.random.random()
            return round(LONG_FROM * (LONG_TO / LONG_FROM) ** exponent)
        tokens = self.random.lognormvariate(
            math.log(PROMPT_MEDIAN),
            PROMPT_SPREAD,
        )
        return min(LONG_FROM - 1, max(SHORTEST_PROMPT, round(tokens)))

    def _blocks(self, number: int, prompt: int) -> tuple[BlockHash, ...]:
        blocks = prompt // self.profile.block_tokens
        if not self.settings.hot_key_share:
            return ()
        hot = self.random.random() < self.settings.hot_key_share
        owner = 0 if hot else number
        return tuple(
            BlockHash(owner * LONG_TO + position + 1)
            for position in range(blocks)
        )


def endpoint_name(place: int) -> EndpointId:
    """Return the name of the engine at a place."""
    digits = str(place).zfill(3)
    return EndpointId(f'e{digits}')


def workspace_weights(number: int) -> list[float]:
    """Return the weights of workspaces, the first three of which are large."""
    return [*LARGE_WEIGHTS, *(1 for _ in range(number))][:number]


def fleet_settings(
    settings: WorkloadSettings,
    policy: PolicySettings,
    profile: EngineProfile,
) -> FleetSettings:
    """Return the settings tree that belongs to a workload."""
    targets = tuple(
        Target(band, TARGET_SECONDS[band], penalty=PENALTIES[band])
        for band in PromptBand
    )
    service = ServiceSettings(targets=targets, max_output_tokens=MAX_OUTPUT)
    workspaces = {
        WorkspaceId(f'w{place}'): WorkspaceSettings(
            workspace=WorkspaceId(f'w{place}'),
            weight=weight,
            services={SERVICE: service},
        )
        for place, weight in enumerate(workspace_weights(settings.workspaces))
    }
    names = [endpoint_name(place) for place in range(settings.engines)]
    endpoints = {
        name: EndpointSettings(
            endpoint=name,
            service=SERVICE,
            zone=ZoneId('z1'),
            address='',
            capacity_tokens=profile.memory_tokens,
        )
        for name in names
    }
    return FleetSettings(
        version=SettingsVersion(1),
        name='virtual',
        workspaces=workspaces,
        endpoints=endpoints,
        policy=policy,
    )
