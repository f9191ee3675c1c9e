"""Tests of packet ages after a shift of a clock."""

from ...ids import Incarnation
from ..ages import MAX_PACKET_AGE_SECONDS, REBASE_SECONDS, PacketAges

SENDER = Incarnation(1)
SUSPENDED_SECONDS = 3600


def test_packets_are_accepted_again_after_the_sender_was_suspended() -> None:
    """The platform suspends an instance for an hour, and its clock stops.

    All its later packets look an hour old. If they were dropped permanently,
    the endpoint would never receive work again.
    """
    ages = PacketAges()
    ages.observe(SENDER, sent_at=0, received_at=0)
    seconds = range(int(REBASE_SECONDS) + 2)
    observed_ages = [
        ages.observe(SENDER, second, second + SUSPENDED_SECONDS)
        for second in seconds
    ]
    assert observed_ages[0] > MAX_PACKET_AGE_SECONDS
    assert observed_ages[-1] == 0


def test_packets_that_waited_in_a_socket_stay_old() -> None:
    """A process is paused for an hour, then reads all waiting packets.

    None of these packets may be processed; the next heartbeat has age 0.
    """
    ages = PacketAges()
    ages.observe(SENDER, sent_at=0, received_at=0)
    waiting_ages = [
        ages.observe(SENDER, second, SUSPENDED_SECONDS + second / 1000)
        for second in range(1, 3000)
    ]
    assert all(age > MAX_PACKET_AGE_SECONDS for age in waiting_ages)
    assert ages.observe(SENDER, SUSPENDED_SECONDS, SUSPENDED_SECONDS) == 0
