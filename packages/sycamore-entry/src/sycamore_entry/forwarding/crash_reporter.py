"""Records crashes of endpoints, of this entry and of its peers."""

import asyncio
from collections.abc import Coroutine, Iterable

from sycamore_core.decisions.crashes import (
    MAX_ABANDONED_SECONDS,
    AbandonedAttempt,
    kind_of,
)
from sycamore_core.ids import (
    ContentDigest,
    EntryId,
    PartDigest,
    TraitDigest,
)
from sycamore_core.routing import (
    CrashReport,
    EndpointLifetime,
    EndpointRecord,
)

from .calls import AdmittedRequest
from .context import ForwardingContext
from .endpoints.attempt import Attempt


class CrashReporter:
    """Probes endpoints, and records and reports those that have crashed.

    A request that was given up at an endpoint is reported as well, once this
    entry or a peer finds that the endpoint has crashed.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.quarantine = context.suspects.quarantine

    def handle_reports(
        self, reports: tuple[CrashReport, ...], peer: EntryId
    ) -> None:
        """Record the crashes that a peer reports."""
        self._log_quarantined(
            self.quarantine.handle_reports(reports, self._now()), peer
        )
        lifetimes = {report.endpoint for report in reports}
        for lifetime in lifetimes:
            self._blame_abandoned(lifetime)

    def probe_broken(
        self, call: AdmittedRequest, attempt: Attempt
    ) -> asyncio.Task[None]:
        """Probe the endpoint of a broken attempt."""
        return self._start(self._probe_broken(call, attempt))

    def probe_unreachable(self, endpoint: EndpointRecord) -> None:
        """Probe an endpoint that cannot be reached, if it matters.

        Without this, nobody notices the crash of an endpoint that ran only
        requests that had been given up.
        """
        abandoned = self.quarantine.abandoned
        if abandoned.has_any(endpoint.lifetime, self._now()):
            self._start(self._probe_unreachable(endpoint))

    def record_abandoned(self, call: AdmittedRequest, attempt: Attempt) -> None:
        """Record that an endpoint may still run a request of this entry."""
        now = self._now()
        lifetime = attempt.placement.primary.lifetime
        self.quarantine.record_abandoned(
            AbandonedAttempt(
                content=call.content.digest,
                endpoint=lifetime,
                until=min(call.deadline, now + MAX_ABANDONED_SECONDS),
                had_just_begun=attempt.watch.had_just_begun,
                has_output=attempt.watch.has_event,
                parts=_suspect_parts(call, attempt),
            ),
            now,
        )
        self._blame_abandoned(lifetime)

    async def _probe_broken(
        self, call: AdmittedRequest, attempt: Attempt
    ) -> None:
        endpoint = attempt.placement.primary
        had_just_begun = attempt.watch.had_just_begun
        parts = _suspect_parts(call, attempt)
        if await self.context.suspects.probe.has_crashed(endpoint):
            self._record_crash(
                call,
                endpoint,
                had_just_begun=had_just_begun,
                has_output=attempt.watch.has_event,
                parts=parts,
            )
        else:
            # A peer may find later that it has crashed.
            self.record_abandoned(call, attempt)

    async def _probe_unreachable(self, endpoint: EndpointRecord) -> None:
        if await self.context.suspects.probe.has_crashed(endpoint):
            now = self._now()
            crashed = self.quarantine.book.crashed
            crashed.record(endpoint.lifetime, now, now)
            self._blame_abandoned(endpoint.lifetime)

    def _record_crash(
        self,
        call: AdmittedRequest,
        endpoint: EndpointRecord,
        *,
        had_just_begun: bool,
        has_output: bool,
        parts: tuple[PartDigest, ...],
    ) -> None:
        now = self._now()
        content = call.content.digest
        traits = (content, *parts)
        were_held = set(self._held(traits))
        is_recorded = self.quarantine.record_crash(
            content,
            endpoint.lifetime,
            now,
            had_just_begun=had_just_begun,
            has_output=has_output,
            parts=parts,
        )
        metrics = self.context.metrics.suspects
        metrics.count_crash(is_recorded=is_recorded)
        self.context.dispatcher.send_update_now(endpoint.endpoint)
        self._log_crash(
            content,
            endpoint.lifetime,
            had_just_begun=had_just_begun,
            is_recorded=is_recorded,
            call=call,
        )
        held = [one for one in self._held(traits) if one not in were_held]
        self._log_quarantined(held, self.context.entry)
        self._blame_abandoned(endpoint.lifetime)

    def _held(self, traits: tuple[TraitDigest, ...]) -> list[TraitDigest]:
        now = self._now()
        return [one for one in traits if self.quarantine.is_held(one, now)]

    def _blame_abandoned(self, lifetime: EndpointLifetime) -> None:
        """Report the requests that were given up at an endpoint that crashed.

        If the endpoint has not crashed, nothing happens.
        """
        attempts = self.quarantine.blame_abandoned(lifetime, self._now())
        for attempt in attempts:
            self._log_crash(
                attempt.content,
                lifetime,
                had_just_begun=attempt.had_just_begun,
                is_abandoned=True,
            )
        if attempts:
            self.context.dispatcher.send_update_now(lifetime.endpoint)

    def _log_crash(
        self,
        content: ContentDigest,
        lifetime: EndpointLifetime,
        *,
        had_just_begun: bool,
        is_abandoned: bool = False,
        is_recorded: bool = True,
        call: AdmittedRequest | None = None,
    ) -> None:
        self.context.log.warning(
            'endpoint_crashed',
            request_id=None if call is None else call.request_id,
            endpoint=lifetime.endpoint,
            content=content.hex(),
            parts=[] if call is None else call.content.parts_for_log(),
            had_just_begun=had_just_begun,
            is_abandoned=is_abandoned,
            is_recorded=is_recorded,
            has_output=self.quarantine.book.has_output(content),
            crashes=self.quarantine.crash_count(content),
            is_held=self.quarantine.is_quarantined(content, self._now()),
        )

    def _log_quarantined(
        self,
        traits: Iterable[TraitDigest],
        source: EntryId,
    ) -> None:
        metrics = self.context.metrics.suspects
        for trait in traits:
            kind = kind_of(trait)
            metrics.quarantined.add(kind)
            self.context.log.warning(
                'content_held',
                kind=kind,
                content=trait.hex(),
                crashes=self.quarantine.crash_count(trait),
                source=source,
            )

    def _start(
        self, probing: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start a probe that outlives the request."""
        probe = asyncio.create_task(probing)
        self.context.background.add(probe)
        probe.add_done_callback(self.context.background.discard)
        return probe

    def _now(self) -> float:
        return self.context.clock.monotonic()


def _suspect_parts(
    call: AdmittedRequest, attempt: Attempt
) -> tuple[PartDigest, ...]:
    """Return the parts of a prompt that may have crashed its endpoint."""
    return () if attempt.beginning.is_safe else call.content.parts
