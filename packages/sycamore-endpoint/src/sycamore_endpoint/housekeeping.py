"""Periodic work: deadlines, leases and silent entries."""

import asyncio

from sycamore_core.states import CancelReason, Outcome
from sycamore_core.telemetry import Log, Metrics

from .ledger import OwnerLeases, RunRecord
from .runner import Runner

#: Interval between ticks, in seconds. Deadlines last seconds.
TICK_SECONDS = 0.25
#: Interval between resends of unacknowledged last frames, in ticks. A resent
#: frame lets an entry detect the loss of the last frames of a stream.
RESEND_TICKS = 8
#: Interval between removals of expired records, in ticks.
CLEANUP_TICKS = 40


class Housekeeping:
    """Does the work that depends on time alone, in one task."""

    def __init__(
        self,
        runner: Runner,
        owners: OwnerLeases,
        metrics: Metrics,
    ) -> None:
        self.runner = runner
        self.runs = runner.runs
        self.memory = runner.memory
        self.owners = owners
        self.metrics = metrics
        self.log = Log('endpoint.time')
        self.ticks = 0

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Do the work that is due now."""
        now = self.runner.clock.monotonic()
        self.ticks += 1
        self.owners.tick(now)
        self.runner.admission.keys.refresh()
        for record in self.runs.end_overdue(now):
            self._stop_run(record, CancelReason.DEADLINE)
        for record in self._orphaned_runs(now):
            self.runs.end(record, Outcome.CANCELLED)
            self._stop_run(record, CancelReason.ENTRY_SILENT)
        self.memory.expire(now)
        if self.ticks % RESEND_TICKS == 0:
            self._resend_unacknowledged()
        if self.ticks % CLEANUP_TICKS == 0:
            self._drop_expired(now)

    def _orphaned_runs(self, now: float) -> list[RunRecord]:
        return [
            record
            for record in self.runs.in_progress()
            if record.owner is not None
            and self.owners.is_lost(record.owner, now)
        ]

    def _stop_run(self, record: RunRecord, reason: CancelReason) -> None:
        self.metrics.cancelled(reason)
        self.log.info(
            'run_given_up',
            request_id=record.request_id,
            reason=reason.value,
        )
        self.runner.stop(record)

    def _resend_unacknowledged(self) -> None:
        for record in self.runs.unfinished():
            self.runner.post_latest(record)

    def _drop_expired(self, now: float) -> None:
        self.runs.prune(now)
        records = self.runs.records.values()
        owners = (run.owner for run in records if run.owner is not None)
        self.owners.prune(owners, now)
