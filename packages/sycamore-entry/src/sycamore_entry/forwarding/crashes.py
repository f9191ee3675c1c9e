"""Keeps requests from endpoints that would crash under them."""

import asyncio
import contextlib
from collections.abc import Iterable, Iterator

from sycamore_core.decisions.direct import AttemptEnd, after_hold
from sycamore_core.ids import ContentDigest, EndpointId, EntryId
from sycamore_core.routing import CrashReport, EndpointRecord

from .callers.refusals import Refusal, RefusalCause
from .calls import AttemptCall
from .context import ForwardingContext
from .endpoints.attempt import Attempt
from .errors import AttemptError

#: For how long a request waits to learn whether its endpoint has crashed, in
#: seconds: several round trips within a region.
_LONGEST_LOOK = 0.03


class CrashWatch:
    """What one entry does about requests under which endpoints crash.

    Attributes
    ----------
    is_trial
        Whether the attempt of this watch is the one that tries a request.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.quarantine = context.quarantine
        self.is_trial = False

    async def check(self, call: AttemptCall) -> None:
        """Let a request pass that may be sent to an endpoint.

        Raises
        ------
        Refusal
            If too many endpoints have crashed under it.
        """
        if not self._may_know(call) or self.is_trial:
            return
        content = call.content.digest
        seconds_left = self.quarantine.seconds_left(content, self._now())
        if seconds_left:
            raise self._held(call, seconds_left)
        if not self.quarantine.is_in_doubt(content, self._now()):
            return
        to_try = self.quarantine.seconds_to_try(content, self._now())
        if to_try or not await self.context.trials.may_try(content):
            raise self._held(call, to_try)
        self.is_trial = True

    def places_to_avoid(self, call: AttemptCall) -> set[EndpointId]:
        """Return where requests are that are suspected of the same crash."""
        if not self._may_know(call):
            return set()
        fellows = self.quarantine.fellow_suspects(call.content.digest)
        return self.context.suspect_places.with_any(fellows)

    @contextlib.contextmanager
    def sent_to(
        self,
        endpoint: EndpointId,
        call: AttemptCall,
    ) -> Iterator[None]:
        """Note for how long a suspected request is at an endpoint."""
        if not self._may_know(call):
            yield
            return
        places = self.context.suspect_places
        content = call.content.digest
        places.begin(content, endpoint)
        try:
            yield
        finally:
            places.end(content, endpoint)

    def answered(self, call: AttemptCall) -> None:
        """Note that a request got its whole answer."""
        if self._may_know(call):
            self.quarantine.answered(call.content.digest, self._now())

    async def attempt_ended(
        self,
        call: AttemptCall,
        attempt: Attempt,
        error: AttemptError,
    ) -> None:
        """Look whether the endpoint has crashed under a request.

        A request that may have been the cause waits for that: its next
        attempt would end one more endpoint.
        """
        self.is_trial = self.is_trial and error.end.has_not_run
        if error.end != AttemptEnd.BROKEN:
            return
        looking = asyncio.create_task(self._look(call, attempt))
        self.context.background.add(looking)
        looking.add_done_callback(self.context.background.discard)
        if attempt.watch.had_just_begun:
            await asyncio.wait((looking,), timeout=_LONGEST_LOOK)

    def hear(self, reports: Iterable[CrashReport], peer: EntryId) -> None:
        """Take it from a peer that endpoints crashed."""
        self._log_held(self.quarantine.hear(reports, self._now()), peer)

    async def _look(self, call: AttemptCall, attempt: Attempt) -> None:
        endpoint = attempt.placement.home
        had_just_begun = attempt.watch.had_just_begun
        if not await self.context.crash_probe.has_crashed(endpoint):
            return
        self._note_crash(call, endpoint, had_just_begun=had_just_begun)

    def _note_crash(
        self,
        call: AttemptCall,
        endpoint: EndpointRecord,
        *,
        had_just_begun: bool,
    ) -> None:
        now = self._now()
        content = call.content.digest
        was_held = self.quarantine.is_held(content, now)
        self.quarantine.crashed(
            content,
            endpoint.lifetime,
            now,
            had_just_begun=had_just_begun,
        )
        self.context.dispatcher.tell_at_once(endpoint.endpoint)
        is_held = self.quarantine.is_held(content, now)
        self.context.log.warning(
            'endpoint_crashed',
            request_id=call.request_id,
            endpoint=endpoint.endpoint,
            content=content.hex(),
            had_just_begun=had_just_begun,
            crashes=self.quarantine.crashes(content),
            is_held=is_held,
        )
        if is_held and not was_held:
            self._log_held((content,), self.context.entry)

    def _held(self, call: AttemptCall, seconds: float) -> Refusal:
        content = call.content.digest
        crashes = self.quarantine.crashes(content)
        return Refusal(
            RefusalCause.CRASHES_ENDPOINTS,
            f'content {content.hex()}, {crashes} crashes,'
            f' held for {seconds:.0f} s',
            retry_after=after_hold(seconds, call.caller_time(self._now())),
        )

    def _may_know(self, call: AttemptCall) -> bool:
        return self.quarantine.book.may_know(call.content.outline)

    def _log_held(
        self,
        digests: Iterable[ContentDigest],
        source: EntryId,
    ) -> None:
        for content in digests:
            self.context.log.warning(
                'content_held',
                content=content.hex(),
                crashes=self.quarantine.crashes(content),
                source=source,
            )

    def _now(self) -> float:
        return self.context.clock.monotonic()
