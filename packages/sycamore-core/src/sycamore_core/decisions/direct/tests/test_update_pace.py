"""Rate limit of the updates that an entry sends to its peers."""

from hypothesis import given
from hypothesis import strategies as st

from ..update_pace import (
    MAX_UPDATES_PER_S,
    UPDATE_INTERVAL_SECONDS,
    UpdateRateLimit,
)

PEERS = 25
SECONDS = 10


def test_sent_request_is_reported_before_the_next_interval() -> None:
    """Two long prompts arrive at two entries within a few milliseconds.

    If the first prompt were reported at the regular interval only, the second
    entry would place parts on the same engines, and both answers would be
    late.
    """
    limit = UpdateRateLimit()
    limit.record_update(PEERS, now=1)
    assert limit.urgent_wait_seconds(PEERS, now=1) == 0
    assert limit.regular_wait_seconds(now=1) >= UPDATE_INTERVAL_SECONDS


def test_few_peers_receive_an_update_at_every_interval() -> None:
    limit = UpdateRateLimit()
    limit.record_update(3, now=1)
    assert limit.regular_wait_seconds(now=1) == UPDATE_INTERVAL_SECONDS


@given(
    peers=st.integers(min_value=1, max_value=350),
    gaps=st.lists(st.floats(min_value=0, max_value=0.05), max_size=300),
)
def test_updates_of_a_burst_stay_within_the_limit(
    peers: int,
    gaps: list[float],
) -> None:
    """Requests arrive at one entry as fast as callers can send them.

    Without a limit, each request costs a message to every peer, and entries
    spend their processor time on updates.
    """
    limit = UpdateRateLimit()
    now = 1.0
    rounds = 0
    for gap in gaps:
        now += gap + limit.urgent_wait_seconds(peers, now + gap)
        limit.record_update(peers, now)
        rounds += 1
    allowed = (now - 1) * MAX_UPDATES_PER_S + 3 * peers
    assert rounds * peers <= allowed + 1
