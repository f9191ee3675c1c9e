"""What falls due by time alone: deadlines, leases, silent entries."""

import asyncio

from sycamore_core.states import CancelReason, Outcome
from sycamore_core.telemetry import Log, Metrics

from .ledger import OwnerLeases, RunRecord
from .runner import Runner

#: How often the clock is looked at, in seconds. Deadlines are seconds.
TICK_SECONDS = 0.25
#: A frame not acknowledged for this many ticks is posted again, so that an
#: entry notices the loss of the last frames of a stream.
RESEND_TICKS = 8
#: How often what is out of time is dropped, in ticks.
FORGET_TICKS = 40


class Housekeeping:
    """Looks at the clock a few times a second; one task."""

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
        """Do what is due now."""
        now = self.runner.clock.monotonic()
        self.ticks += 1
        self.owners.tick(now)
        self.runner.admission.keys.look()
        for record in self.runs.overdue(now):
            self._give_up(record, CancelReason.DEADLINE)
        for record in self._orphans(now):
            self.runs.end(record, Outcome.CANCELLED)
            self._give_up(record, CancelReason.ENTRY_SILENT)
        self.memory.expire(now)
        if self.ticks % RESEND_TICKS == 0:
            self._post_again()
        if self.ticks % FORGET_TICKS == 0:
            self._forget(now)

    def _orphans(self, now: float) -> list[RunRecord]:
        return [
            record
            for record in self.runs.in_progress()
            if record.owner is not None
            and self.owners.is_gone(record.owner, now)
        ]

    def _give_up(self, record: RunRecord, reason: CancelReason) -> None:
        self.metrics.cancelled(reason)
        self.log.info(
            'run_given_up',
            request_id=record.request_id,
            reason=reason.value,
        )
        self.runner.stop(record)

    def _post_again(self) -> None:
        for record in self.runs.unfinished():
            self.runner.post_latest(record)

    def _forget(self, now: float) -> None:
        self.runs.forget(now)
        records = self.runs.records.values()
        kept = (run.owner for run in records if run.owner is not None)
        self.owners.forget(kept, now)
