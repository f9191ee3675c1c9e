"""State that the leader of a group keeps for one member."""

import enum
import math

from ..ids import EndpointId
from .group_times import LEASE_SECONDS, RENEW_INTERVAL_SECONDS


class GroupMemberState(enum.StrEnum):
    """State of the reservation at one member."""

    WAITING = 'waiting'
    REQUESTED = 'asked'
    HELD = 'held'
    RELEASING = 'ending'
    RELEASED = 'ended'


class GroupMember:
    """One span, its lease, and the requests sent for it.

    Parameters
    ----------
    span
        Number of the span within the prompt.
    tokens
        Memory that the span takes, in tokens.
    """

    def __init__(self, endpoint: EndpointId, span: int, tokens: int) -> None:
        self.endpoint = endpoint
        self.span = span
        self.tokens = tokens
        self.state = GroupMemberState.WAITING
        self.lease_seconds = LEASE_SECONDS
        self.lease_expires_at = -math.inf
        self.next_send_at = -math.inf
        self.declined = False
        self.releases_sent = 0
        self._sent_at: list[float] = []

    def record_request(self, now: float, interval: float) -> int:
        """Record a reserve or renew request; return its number, from 1."""
        if self.state == GroupMemberState.WAITING:
            self.state = GroupMemberState.REQUESTED
        self._sent_at.append(now)
        self.next_send_at = now + interval
        return len(self._sent_at)

    def apply_grant(self, number: int) -> None:
        """Extend the lease from the time the answered request was sent.

        Answers may be late or duplicated. If the lease started when the answer
        arrives, an old answer would extend it beyond what the member grants.
        """
        if self.state == GroupMemberState.WAITING or not self._sent_at:
            return
        # An answer without a number may refer to the first request.
        sent_at = self._sent_at[max(number, 1) - 1]
        if self.state == GroupMemberState.REQUESTED:
            self.next_send_at = sent_at + RENEW_INTERVAL_SECONDS
        self.state = GroupMemberState.HELD
        self.lease_expires_at = max(
            self.lease_expires_at, sent_at + self.lease_seconds
        )

    def record_decline(self, retry_at: float) -> None:
        """Record that the member currently lacks the memory."""
        self.declined = True
        self.next_send_at = retry_at

    def is_latest(self, number: int) -> bool:
        """Return whether an answer refers to the latest request."""
        return number in {0, len(self._sent_at)}

    def begin_release(self, now: float) -> None:
        """Start releasing the lease if one was ever requested."""
        requested = self.state != GroupMemberState.WAITING
        self.state = (
            GroupMemberState.RELEASING
            if requested
            else GroupMemberState.RELEASED
        )
        self.next_send_at = now

    def record_release(self, next_send_at: float, max_releases: int) -> None:
        """Record that a release was sent."""
        self.releases_sent += 1
        self.next_send_at = next_send_at
        if self.releases_sent >= max_releases:
            self.state = GroupMemberState.RELEASED
