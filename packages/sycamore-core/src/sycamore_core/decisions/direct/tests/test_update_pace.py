"""When an entry tells others where it has sent requests."""

from hypothesis import given
from hypothesis import strategies as st

from ..update_pace import MOST_UPDATES_PER_S, TELL_SECONDS, UpdatePace

PEERS = 25
SECONDS = 10


def test_request_that_was_sent_is_told_before_the_next_beat() -> None:
    """Two long prompts come to two entries within a few milliseconds.

    If the second entry learns of the first prompt on a beat only, it puts
    parts on the same engines, and both answers begin late.
    """
    pace = UpdatePace()
    pace.told(PEERS, now=1)
    assert pace.urgent_seconds(PEERS, now=1) == 0
    assert pace.beat_seconds(now=1) >= TELL_SECONDS


def test_peers_that_are_few_are_told_on_every_beat() -> None:
    pace = UpdatePace()
    pace.told(3, now=1)
    assert pace.beat_seconds(now=1) == TELL_SECONDS


@given(
    peers=st.integers(min_value=1, max_value=350),
    gaps=st.lists(st.floats(min_value=0, max_value=0.05), max_size=300),
)
def test_updates_of_a_burst_stay_within_the_bound(
    peers: int,
    gaps: list[float],
) -> None:
    """Requests come to one entry as fast as callers can send them.

    Without a bound, each of them costs a message to every peer, and entries
    spend their processor time on telling one another.
    """
    pace = UpdatePace()
    now = 1.0
    rounds = 0
    for gap in gaps:
        now += gap + pace.urgent_seconds(peers, now + gap)
        pace.told(peers, now)
        rounds += 1
    allowed = (now - 1) * MOST_UPDATES_PER_S + 3 * peers
    assert rounds * peers <= allowed + 1
