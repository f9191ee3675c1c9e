"""Load reports of this endpoint process to the entries."""

import msgspec
from sycamore_core.ids import ServiceId
from sycamore_core.messages import LoadReport
from sycamore_core.platform import SettingsKeeper

from .ledger import LeaseKind, MemoryLedger, RunLedger
from .state import EndpointState


class EngineLoad(msgspec.Struct, frozen=True):
    """Load that an engine reports; all fields except `requests` lag."""

    running: int = 0
    waiting: int = 0
    backlog_tokens: int = 0
    capacity_tokens: int = 0
    step_seconds: float = 0
    prefill_rate: float = 0
    requests: tuple['EngineRequest', ...] = ()


class EngineRequest(msgspec.Struct, frozen=True):
    """Memory that one request holds in an engine."""

    request_id: str
    tokens: int


class Reporter:
    """Builds load reports.

    Attributes
    ----------
    load
        The last load that the engine reported.
    cached_blocks
        Blocks that the engine reports as cached, newest first.
    """

    def __init__(
        self,
        state: EndpointState,
        memory: MemoryLedger,
        runs: RunLedger,
        keeper: SettingsKeeper,
    ) -> None:
        self.state = state
        self.memory = memory
        self.runs = runs
        self.keeper = keeper
        self.load = EngineLoad()
        self.cached_blocks: tuple[int, ...] = ()

    def report(self) -> LoadReport:
        """Return a report of the current load."""
        own_settings = self.state.own_settings
        claim = self.keeper.claim
        service = (
            ServiceId('')
            if own_settings is None
            else own_settings.endpoint.service
        )
        return LoadReport(
            endpoint=self.state.name,
            service=service,
            zone=self.state.zone,
            incarnation=self.state.incarnation,
            phase=self.state.phase,
            settings_version=claim.rank.version,
            free_tokens=self.memory.free_tokens,
            capacity_tokens=self.memory.capacity_tokens,
            running=self._running(),
            waiting=self.load.waiting,
            backlog_tokens=self.load.backlog_tokens,
            service_rate=self.load.prefill_rate,
            step_seconds=self.load.step_seconds,
            cached_blocks=self.cached_blocks,
            long_tokens=self._long_tokens(),
            settings_digest=claim.rank.digest,
            settings_age=claim.age,
        )

    def _running(self) -> int:
        if self.memory.capacity_tokens:
            return self.load.running
        return len(self.runs.in_progress())

    def _long_tokens(self) -> int:
        own_settings = self.state.own_settings
        if own_settings is None:
            return 0
        long_band_tokens = own_settings.fleet.policy.bands.long
        return sum(
            lease.tokens
            for lease in self.memory.leases.values()
            if lease.key.kind is LeaseKind.SPAN
            or lease.tokens > long_band_tokens
        )
