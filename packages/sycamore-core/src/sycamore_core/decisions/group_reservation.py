"""Reservation of memory at all members of a group, by its leader.

Load pattern: several long prompts at the same time whose groups share members,
while messages are lost, duplicated or delayed, and any process may fail.

Without this protocol, two groups that wait for each other's memory deadlock,
and the memory reserved by a failed leader is never released.

The leader sends reservations to one member at a time, in the order of their
ids. Of several groups, the one that has reserved the highest contested member
can therefore always continue. The member ends a lease that is not renewed in
time, without a message. The leader counts the lease from the time at which it
sent the request, so it never relies on a lease that has expired.
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
from .group_member import GroupMember, GroupMemberState
from .group_times import (
    RELEASE_SENDS,
    RENEW_INTERVAL_SECONDS,
    RESEND_INTERVAL_SECONDS,
    RESERVATION_TIMEOUT_SECONDS,
)
from .long_prompts import Span


class ReservationState(enum.StrEnum):
    """State of the reservation of a group."""

    RESERVING = 'reserving'
    HELD = 'held'
    RELEASED = 'released'
    FAILED = 'failed'


class ReservationFailure(enum.StrEnum):
    """Why the reservation of a group failed."""

    MEMBER_FULL = 'member_full'
    MEMBER_SILENT = 'member_silent'
    LEASE_LOST = 'lease_lost'


class Outgoing(msgspec.Struct, frozen=True):
    """A message to a member that is ready to be sent."""

    endpoint: EndpointId
    message: GroupReserve | GroupRenew | GroupRelease


class GroupReservation:
    """Leader's side of the reservation of one group.

    Pass each `GroupAnswer` to the reservation, send the messages that `due`
    returns, and run a span only while `is_held` returns true.

    Parameters
    ----------
    spans
        Spans of the group, each at a different endpoint.
    now
        Start of the reservation, in seconds.
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
        self.timeout_at = now + RESERVATION_TIMEOUT_SECONDS
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
        """Start the reservation of the spans of a plan."""
        return cls(group, request_id, spans, now)

    def due(self, now: float) -> list[Outgoing]:
        """Return the messages that are due now."""
        self._update_state(now)
        if self.state in _FINAL_STATES:
            return self._releases(now)
        outgoing = self._renewals(now)
        next_member = self._next_to_reserve()
        if next_member is not None and next_member.next_send_at <= now:
            outgoing.append(self._reserve(next_member, now))
        return outgoing

    def is_held(self, now: float) -> bool:
        """Return whether the leases of all members are valid."""
        if self.state != ReservationState.HELD:
            return False
        return all(member.lease_expires_at > now for member in self.members)

    def handle_answer(
        self,
        endpoint: EndpointId,
        answer: GroupAnswer,
        now: float,
    ) -> None:
        """Apply an answer; late and duplicate answers are harmless."""
        member = self._find_member(endpoint)
        if member is None or self.state in _FINAL_STATES:
            return
        if answer.granted:
            member.apply_grant(answer.number)
        elif member.state == GroupMemberState.HELD and member.is_latest(
            answer.number
        ):
            self._fail(ReservationFailure.LEASE_LOST, now)
        elif member.state == GroupMemberState.REQUESTED:
            member.record_decline(
                now + max(answer.retry_after, RESEND_INTERVAL_SECONDS)
            )
        self._update_state(now)

    def release(self, now: float) -> None:
        """Release all memory, once the prompt is answered or cancelled."""
        if self.state not in _FINAL_STATES:
            self._end(ReservationState.RELEASED, now)

    def next_wake(self, now: float) -> float:
        """Return the time at which `due` must be called next, in seconds."""
        times = [member.next_send_at for member in self._members_to_send()]
        if self.state == ReservationState.RESERVING:
            times.append(self.timeout_at)
        times.extend(
            member.lease_expires_at for member in self._members_with_lease()
        )
        return max(now, min(times, default=self.timeout_at))

    def _update_state(self, now: float) -> None:
        if self.state in _FINAL_STATES:
            return
        if any(
            member.lease_expires_at <= now
            for member in self._members_with_lease()
        ):
            # If renewals remain unanswered, the lease may have expired at the
            # member. The member then refuses a span without a lease.
            self._fail(ReservationFailure.LEASE_LOST, now)
        elif self._next_to_reserve() is None:
            self.state = ReservationState.HELD
        elif now >= self.timeout_at:
            self._fail(self._timeout_failure(), now)

    def _timeout_failure(self) -> ReservationFailure:
        next_member = self._next_to_reserve()
        if next_member is not None and next_member.declined:
            return ReservationFailure.MEMBER_FULL
        return ReservationFailure.MEMBER_SILENT

    def _fail(self, failure: ReservationFailure, now: float) -> None:
        self.failure = failure
        self._end(ReservationState.FAILED, now)

    def _end(self, state: ReservationState, now: float) -> None:
        self.state = state
        for member in self.members:
            member.begin_release(now)

    def _reserve(self, member: GroupMember, now: float) -> Outgoing:
        number = member.record_request(now, RESEND_INTERVAL_SECONDS)
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
        for member in self._members_with_lease():
            if member.next_send_at <= now:
                number = member.record_request(now, RENEW_INTERVAL_SECONDS)
                message = GroupRenew(
                    group=self.group,
                    lease_seconds=member.lease_seconds,
                    number=number,
                )
                outgoing.append(Outgoing(member.endpoint, message))
        return outgoing

    def _releases(self, now: float) -> list[Outgoing]:
        # Releases are not acknowledged. Each is sent several times; if all are
        # lost, the lease expires at the member.
        outgoing = []
        for member in self._members_to_send():
            if member.next_send_at <= now:
                member.record_release(
                    now + RESEND_INTERVAL_SECONDS, RELEASE_SENDS
                )
                message = GroupRelease(group=self.group)
                outgoing.append(Outgoing(member.endpoint, message))
        return outgoing

    def _next_to_reserve(self) -> GroupMember | None:
        for member in self.members:
            if member.state in {
                GroupMemberState.WAITING,
                GroupMemberState.REQUESTED,
            }:
                return member
        return None

    def _find_member(self, endpoint: EndpointId) -> GroupMember | None:
        for member in self.members:
            if member.endpoint == endpoint:
                return member
        return None

    def _members_with_lease(self) -> Iterable[GroupMember]:
        return [
            member
            for member in self.members
            if member.state == GroupMemberState.HELD
        ]

    def _members_to_send(self) -> Iterable[GroupMember]:
        if self.state in _FINAL_STATES:
            return [
                member
                for member in self.members
                if member.state == GroupMemberState.RELEASING
            ]
        next_member = self._next_to_reserve()
        leased_members = self._members_with_lease()
        return (
            leased_members
            if next_member is None
            else [*leased_members, next_member]
        )


_FINAL_STATES = frozenset((ReservationState.RELEASED, ReservationState.FAILED))
