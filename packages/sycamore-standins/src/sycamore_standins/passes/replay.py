"""Replays a load on engines, with entries that know a little less than all."""

from collections.abc import Callable

import msgspec
from sycamore_core.decisions.direct import (
    CallerTime,
    KnownEngine,
    LoadRegistry,
    ReadPlan,
    ReadRequest,
    after_overload,
    assignments_of,
    is_short_request,
)
from sycamore_core.decisions.pace import EngineSlowdowns
from sycamore_core.hashes import stable_fraction
from sycamore_core.ids import EndpointId, RequestId
from sycamore_core.routing import EndpointLifetime

from ..virtual.timeline import Timeline
from .answers import Answer
from .engine import Part, PassEngine, PassResult
from .gossip import NETWORK_SECONDS, Gossip
from .loads import ReplayLoad, ReplayRequest
from .policies import Placed, Policy

#: How long a request waits for a slot, in parts of its objective, how often
#: it looks, and when its caller comes back, in seconds.
_WAIT_PART = 0.12
_LOOK_SECONDS = 0.012
_COME_BACK_SECONDS = 0.5
#: Time that the caller of a long prompt has in all, in seconds.
_LIMIT_SECONDS = 15.0
#: How often a caller comes back.
_RETURNS = 1
#: Time after the last arrival at which a run ends, in seconds.
_TAIL_SECONDS = 15.0
_MS = 1000.0


class Replay:
    """One run of a load under a policy.

    Attributes
    ----------
    slowdowns
        Measurements of all entries, which they exchange; None if the entries
        rely on the published cost figures.
    """

    def __init__(
        self,
        load: ReplayLoad,
        seed: int,
        policy: Policy,
        slowdowns: EngineSlowdowns | None = None,
    ) -> None:
        self.load = load
        self.policy = policy
        self.slowdowns = slowdowns
        self.timeline = Timeline()
        self.costs = load.engine_costs
        self.known = [
            KnownEngine(endpoint=EndpointId(f'e{one}'), zone=load.zone(one))
            for one in range(load.engines)
        ]
        self.engines = {
            one.endpoint: PassEngine(self.costs) for one in self.known
        }
        for slow in self.known[: load.slow_engines]:
            costs = self.costs.slowed_by(load.slowdown)
            self.engines[slow.endpoint] = PassEngine(costs)
        self.books = [LoadRegistry() for _ in range(load.entries)]
        self.gossip = Gossip(load, self.books, self.known, self.timeline)
        self.answers: dict[RequestId, Answer] = {
            one.request_id: Answer(one, one.at) for one in load.requests(seed)
        }
        self._parts = 0

    def run(self) -> list[Answer]:
        """Play the load; return all answers by arrival."""
        for answer in self.answers.values():
            self.timeline.at(answer.tried_at, self._arrive, answer)
        self.gossip.begin()
        until = self.load.seconds + _TAIL_SECONDS
        while self.timeline.now < until:
            self.timeline.step()
        return list(self.answers.values())

    def _arrive(self, answer: Answer) -> None:
        request = answer.request
        if is_short_request(self.costs, request.prompt_tokens):
            self.books[request.entry].short_requests.record_arrival(
                self.timeline.now
            )
        self._place(answer)

    def _place(self, answer: Answer) -> None:
        request = answer.request
        book = self.books[request.entry]
        now = self.timeline.now
        wanted = _read_request(self.policy.request_type, request, now)
        placed = Placed(
            request.entry,
            wanted,
            book,
            self.gossip.views[request.entry],
            now,
        )
        plan = self.policy.place(placed, self._measured(now), self.costs)
        if plan is None:
            self._wait(answer)
            return
        if not self.policy.admits(plan, wanted, self.costs):
            self._send_away(answer)
            return
        answer.plan = plan
        answer.unread_parts = len(plan.members)
        promised_at = request.at + request.kind.objective_ms / _MS
        work = assignments_of(plan, wanted, promised_at)
        book.begin(request.request_id, work, now)
        self.gossip.has_sent(request.entry)
        self._soon(self._send, answer, plan)

    def _measured(self, now: float) -> list[KnownEngine]:
        """Return the engines with their measured slowdowns."""
        slowdowns = self.slowdowns
        if slowdowns is None:
            return self.known
        return [
            msgspec.structs.replace(
                engine,
                slowdown=slowdowns.slowdown(_lifetime(engine.endpoint), now),
            )
            for engine in self.known
        ]

    def _measure(self, answer: Answer, name: EndpointId) -> None:
        """Record the interval that ends with the event of a stream."""
        if self.slowdowns is None or not answer.events:
            return
        now = self.timeline.now
        load = self.books[answer.request.entry].load(name, now)
        pass_ms = self.costs.pass_ms(load.writers, load.context_tokens)
        self.slowdowns.record_interval(
            _lifetime(name),
            (now - answer.last_at) * _MS,
            pass_ms + load.unread_ms,
            now,
        )

    def _wait(self, answer: Answer) -> None:
        """Look for a slot again, or refuse the request."""
        now = self.timeline.now
        waited_ms = (now - answer.tried_at) * _MS
        if waited_ms < answer.request.kind.objective_ms * _WAIT_PART:
            self.timeline.at(now + _LOOK_SECONDS, self._place, answer)
            return
        self._refuse(answer, _COME_BACK_SECONDS)

    def _send_away(self, answer: Answer) -> None:
        """Refuse a prompt that takes more from others than it is worth."""
        left = answer.request.at + _LIMIT_SECONDS - self.timeline.now
        number = stable_fraction(answer.request.request_id)
        self._refuse(answer, after_overload(CallerTime(left, number)))

    def _refuse(self, answer: Answer, seconds: float) -> None:
        """Refuse a request; its caller may come back after some time."""
        answer.refusals += 1
        if answer.refusals <= _RETURNS:
            answer.tried_at = self.timeline.now + seconds
            self.timeline.at(answer.tried_at, self._arrive, answer)

    def _send(self, answer: Answer, plan: ReadPlan) -> None:
        tokens = answer.request.prompt_tokens
        for name in plan.members:
            self._parts += 1
            part = Part(
                request=answer.request.request_id,
                left=tokens / len(plan.members),
                mean_context=tokens / 2,
                is_ahead=bool(plan.helpers),
                order=self._parts,
                is_home=name == plan.primary,
            )
            self.engines[name].waiting.append(part)
            self._wake(name)

    def _wake(self, name: EndpointId) -> None:
        if not self.engines[name].is_busy:
            self._begin_pass(name)

    def _begin_pass(self, name: EndpointId) -> None:
        result = self.engines[name].next_pass()
        if result is not None:
            ends = self.timeline.now + result.ms / _MS
            self.timeline.at(ends, self._end_pass, name, result)

    def _end_pass(self, name: EndpointId, result: PassResult) -> None:
        for request_id in result.writers:
            self._event(self.answers[request_id], name)
        for part in result.read:
            self._part_read(self.answers[part.request])
        self._begin_pass(name)

    def _part_read(self, answer: Answer) -> None:
        answer.unread_parts -= 1
        plan = answer.plan
        if answer.unread_parts or plan is None:
            return
        request = answer.request
        home = self.engines[plan.primary]
        home.contexts[request.request_id] = request.prompt_tokens
        self._soon(
            self.books[request.entry].record_first_token,
            request.request_id,
            plan.members,
        )
        self._event(answer, plan.primary)
        self._wake(plan.primary)

    def _event(self, answer: Answer, name: EndpointId) -> None:
        self._measure(answer, name)
        answer.event(self.timeline.now)
        if answer.ended_at is None or answer.plan is None:
            return
        request = answer.request
        self.engines[name].contexts.pop(request.request_id)
        book = self.books[request.entry]
        members = answer.plan.members
        self._soon(book.end, request.request_id, members)
        if is_short_request(self.costs, request.prompt_tokens):
            book.short_requests.record_end(answer.ended_at - request.at)

    def _soon(self, act: Callable[..., None], *args: object) -> None:
        """Have something done when word of it has come over the network."""
        when = self.timeline.now + NETWORK_SECONDS
        self.timeline.at(when, act, *args)


def _lifetime(endpoint: EndpointId) -> EndpointLifetime:
    return EndpointLifetime(endpoint, 0)


def _read_request(
    request_type: type[ReadRequest], request: ReplayRequest, now: float
) -> ReadRequest:
    waited_ms = (now - request.at) * _MS
    return request_type(
        prompt_tokens=request.prompt_tokens,
        answer_tokens=request.answer_tokens,
        objective_ms=request.kind.objective_ms - waited_ms,
        pause_ms=request.kind.pause_ms,
        importance=request.kind.importance,
        limit_ms=_LIMIT_SECONDS * _MS - waited_ms,
    )
