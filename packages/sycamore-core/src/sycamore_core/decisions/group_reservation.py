"""Reservation of memory at all members of a group, by its leader.

Load pattern: several long prompts at once whose groups share members, while
messages are lost, repeated and late, and any process may die half way.

Without it: two groups that each hold what the other waits for never start,
and the memory that a dead leader has taken is never given back.

Members are asked one after the other in the order of their ids, so of several
groups the one that holds the highest contested member can always go on. Each
lease expires by itself at the member. The leader counts it from the moment
its request was sent, so it never believes in a lease that has expired.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import Self

import msgspec

from ..errors import DecisionError
from ..ids import EndpointId, GroupId, RequestId
from ..messages.groups import (
    GroupAnswer,
    GroupRelease,
    GroupRenew,
    GroupReserve,
)
from .group_member import GroupMember, MemberState
from .group_times import (
    PATIENCE_SECONDS,
    RELEASE_SENDS,
    RENEW_SECONDS,
    RESEND_SECONDS,
)
from .long_prompts import Span


class ReservationState(enum.StrEnum):
    """Where a group stands."""

    RESERVING = 'reserving'
    HELD = 'held'
    RELEASED = 'released'
    FAILED = 'failed'


class ReservationFailure(enum.StrEnum):
    """Why a group was given up."""

    MEMBER_FULL = 'member_full'
    MEMBER_SILENT = 'member_silent'
    LEASE_LOST = 'lease_lost'


class Outgoing(msgspec.Struct, frozen=True):
    """A message that the leader sends to a member now."""

    endpoint: EndpointId
    message: GroupReserve | GroupRenew | GroupRelease


class GroupReservation:
    """The leader's side of one group.

    Feed it each `GroupAnswer`, send what `due` returns, and run a span only
    while `is_held` is true.

    Parameters
    ----------
    spans
        The spans of the group, each at another endpoint.
    now
        When the leader begins, in seconds.
    """

    def __init__(
        self,
        group: GroupId,
        request_id: RequestId,
        spans: Sequence[Span],
        now: float,
    ) -> None:
        self.group = group
        self.request_id = request_id
        self.members = [
            GroupMember(span.endpoint, number, span.tokens)
            for number, span in enumerate(spans)
        ]
        self.members.sort(key=lambda member: member.endpoint)
        if len({member.endpoint for member in self.members}) < len(spans):
            raise DecisionError('a group has two spans at one endpoint')
        self.give_up_at = now + PATIENCE_SECONDS
        self.state = ReservationState.RESERVING
        self.failure: ReservationFailure | None = None

    @classmethod
    def from_spans(
        cls,
        group: GroupId,
        request_id: RequestId,
        spans: Sequence[Span],
        now: float,
    ) -> Self:
        """Begin to reserve the spans of a plan."""
        return cls(group, request_id, spans, now)

    def due(self, now: float) -> list[Outgoing]:
        """Return what is to be sent now."""
        self._judge(now)
        if self.state in _OVER:
            return self._releases(now)
        outgoing = self._renewals(now)
        asked = self._next_to_ask()
        if asked is not None and asked.next_send_at <= now:
            outgoing.append(self._reserve(asked, now))
        return outgoing

    def is_held(self, now: float) -> bool:
        """Tell whether the leases of all members are in force."""
        if self.state != ReservationState.HELD:
            return False
        return all(member.held_until > now for member in self.members)

    def take_answer(
        self,
        endpoint: EndpointId,
        answer: GroupAnswer,
        now: float,
    ) -> None:
        """Take an answer; late and repeated ones do no harm."""
        member = self._find(endpoint)
        if member is None or self.state in _OVER:
            return
        if answer.granted:
            member.grant(answer.number)
        elif member.state == MemberState.HELD and member.is_last(answer.number):
            self._fail(ReservationFailure.LEASE_LOST, now)
        elif member.state == MemberState.ASKED:
            member.decline(now + max(answer.retry_after, RESEND_SECONDS))
        self._judge(now)

    def release(self, now: float) -> None:
        """Give all memory back, when the prompt is answered or given up."""
        if self.state not in _OVER:
            self._end(ReservationState.RELEASED, now)

    def next_wake(self, now: float) -> float:
        """Return when `due` has something to do at the latest, in seconds."""
        moments = [member.next_send_at for member in self._active()]
        if self.state == ReservationState.RESERVING:
            moments.append(self.give_up_at)
        moments.extend(member.held_until for member in self._held())
        return max(now, min(moments, default=self.give_up_at))

    def _judge(self, now: float) -> None:
        if self.state in _OVER:
            return
        if any(member.held_until <= now for member in self._held()):
            # A lease whose renewals nobody answered may be free again at the
            # member, and a span that runs without it would be refused there.
            self._fail(ReservationFailure.LEASE_LOST, now)
        elif self._next_to_ask() is None:
            self.state = ReservationState.HELD
        elif now >= self.give_up_at:
            self._fail(self._why_not(), now)

    def _why_not(self) -> ReservationFailure:
        waited_for = self._next_to_ask()
        if waited_for is not None and waited_for.declined:
            return ReservationFailure.MEMBER_FULL
        return ReservationFailure.MEMBER_SILENT

    def _fail(self, failure: ReservationFailure, now: float) -> None:
        self.failure = failure
        self._end(ReservationState.FAILED, now)

    def _end(self, state: ReservationState, now: float) -> None:
        self.state = state
        for member in self.members:
            member.end(now)

    def _reserve(self, member: GroupMember, now: float) -> Outgoing:
        number = member.note_send(now, RESEND_SECONDS)
        message = GroupReserve(
            group=self.group,
            request_id=self.request_id,
            span=member.span,
            tokens=member.tokens,
            lease_seconds=member.lease_seconds,
            number=number,
        )
        return Outgoing(member.endpoint, message)

    def _renewals(self, now: float) -> list[Outgoing]:
        outgoing = []
        for member in self._held():
            if member.next_send_at <= now:
                number = member.note_send(now, RENEW_SECONDS)
                message = GroupRenew(
                    group=self.group,
                    lease_seconds=member.lease_seconds,
                    number=number,
                )
                outgoing.append(Outgoing(member.endpoint, message))
        return outgoing

    def _releases(self, now: float) -> list[Outgoing]:
        # Nobody answers a release. It is sent a few times, and if all are
        # lost the lease expires at the member all the same.
        outgoing = []
        for member in self._active():
            if member.next_send_at <= now:
                member.note_release(now + RESEND_SECONDS, RELEASE_SENDS)
                message = GroupRelease(group=self.group)
                outgoing.append(Outgoing(member.endpoint, message))
        return outgoing

    def _next_to_ask(self) -> GroupMember | None:
        for member in self.members:
            if member.state in {MemberState.WAITING, MemberState.ASKED}:
                return member
        return None

    def _find(self, endpoint: EndpointId) -> GroupMember | None:
        for member in self.members:
            if member.endpoint == endpoint:
                return member
        return None

    def _held(self) -> Iterable[GroupMember]:
        return [one for one in self.members if one.state == MemberState.HELD]

    def _active(self) -> Iterable[GroupMember]:
        if self.state in _OVER:
            return [
                one for one in self.members if one.state == MemberState.ENDING
            ]
        asked = self._next_to_ask()
        held = self._held()
        return held if asked is None else [*held, asked]


_OVER = frozenset((ReservationState.RELEASED, ReservationState.FAILED))
