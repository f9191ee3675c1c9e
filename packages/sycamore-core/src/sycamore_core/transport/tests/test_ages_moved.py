"""Tests of packet ages when a clock has moved."""

from ...ids import Incarnation
from ..ages import MAX_PACKET_AGE, REBASE_SECONDS, PacketAges

SENDER = Incarnation(1)
SUSPENDED = 3600


def test_sender_is_heard_again_after_its_instance_was_suspended() -> None:
    """The platform suspends an instance for an hour; its clock stands still.

    All its packets look an hour old afterwards. The endpoint must not stay
    without work for ever.
    """
    ages = PacketAges()
    ages.observe(SENDER, sent_at=0, received_at=0)
    seconds = range(int(REBASE_SECONDS) + 2)
    seen = [
        ages.observe(SENDER, second, second + SUSPENDED) for second in seconds
    ]
    assert seen[0] > MAX_PACKET_AGE
    assert seen[-1] == 0


def test_packets_that_waited_in_a_socket_stay_old() -> None:
    """A process is paused for an hour and reads all that came meanwhile.

    It reads them within moments; none of them may be acted on, and the next
    heartbeat is young again.
    """
    ages = PacketAges()
    ages.observe(SENDER, sent_at=0, received_at=0)
    waited = [
        ages.observe(SENDER, second, SUSPENDED + second / 1000)
        for second in range(1, 3000)
    ]
    assert all(age > MAX_PACKET_AGE for age in waited)
    assert ages.observe(SENDER, SUSPENDED, SUSPENDED) == 0
