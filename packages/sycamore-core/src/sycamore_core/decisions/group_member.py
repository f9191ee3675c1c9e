"""What the leader of a group knows of one member."""

import enum
import math

from ..ids import EndpointId
from .group_times import LEASE_SECONDS, RENEW_SECONDS


class MemberState(enum.StrEnum):
    """Where one member stands."""

    WAITING = 'waiting'
    ASKED = 'asked'
    HELD = 'held'
    ENDING = 'ending'
    ENDED = 'ended'


class GroupMember:
    """One span, the lease on it, and the requests sent for it.

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
        self.state = MemberState.WAITING
        self.lease_seconds = LEASE_SECONDS
        self.held_until = -math.inf
        self.next_send_at = -math.inf
        self.declined = False
        self.releases = 0
        self._sent_at: list[float] = []

    def note_send(self, now: float, interval: float) -> int:
        """Note a request to reserve or renew; return its number, from 1."""
        if self.state == MemberState.WAITING:
            self.state = MemberState.ASKED
        self._sent_at.append(now)
        self.next_send_at = now + interval
        return len(self._sent_at)

    def grant(self, number: int) -> None:
        """Count the lease from the moment the answered request was sent.

        Answers come late and twice. Counted from their arrival, an old one
        would stretch the lease beyond what the member keeps.
        """
        if self.state == MemberState.WAITING or not self._sent_at:
            return
        # A member that does not return the number may mean the first request.
        sent_at = self._sent_at[max(number, 1) - 1]
        if self.state == MemberState.ASKED:
            self.next_send_at = sent_at + RENEW_SECONDS
        self.state = MemberState.HELD
        self.held_until = max(self.held_until, sent_at + self.lease_seconds)

    def decline(self, ask_again_at: float) -> None:
        """Note that the member has no room now."""
        self.declined = True
        self.next_send_at = ask_again_at

    def is_last(self, number: int) -> bool:
        """Tell whether an answer is to the last request."""
        return number in {0, len(self._sent_at)}

    def end(self, now: float) -> None:
        """Begin to release the lease if one was ever asked for."""
        asked = self.state != MemberState.WAITING
        self.state = MemberState.ENDING if asked else MemberState.ENDED
        self.next_send_at = now

    def note_release(self, next_send_at: float, sends: int) -> None:
        """Note that a release was sent."""
        self.releases += 1
        self.next_send_at = next_send_at
        if self.releases >= sends:
            self.state = MemberState.ENDED
