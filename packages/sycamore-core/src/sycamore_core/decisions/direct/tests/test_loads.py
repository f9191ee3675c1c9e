"""Loads of engines from an entry's own work and the reports of its peers."""

from ....ids import EndpointId, PeerId, RequestId, ZoneId
from ....routing import EngineLoad, EngineShare, UnreadPrompt
from ..engine_work import Assignment
from ..load_registry import STALE_SECONDS, LoadRegistry
from ..pass_forecast import forecast_passes
from .builders import COSTS

ENGINE = EndpointId('e1')
PEER = PeerId('entry-2')
REQUEST = RequestId('r1')


def share(**load: object) -> EngineShare:
    return EngineShare(ENGINE, EngineLoad(**load))


def busy_ms(registry: LoadRegistry, now: float) -> int:
    return round(forecast_passes(registry.load(ENGINE, now), COSTS).busy_ms)


def test_reading_ends_with_the_first_token() -> None:
    registry = LoadRegistry()
    registry.begin(REQUEST, {ENGINE: Assignment(read_ms=800)}, now=10)
    assert busy_ms(registry, 10.3) == 500
    registry.record_first_token(REQUEST, [ENGINE])
    assert not registry.load(ENGINE, 10.5).unread
    assert registry.load(ENGINE, 10.5).writers == 1
    registry.end(REQUEST, [ENGINE])
    assert registry.load(ENGINE, 11) == EngineLoad()


def test_overdue_reading_does_not_make_an_engine_look_idle() -> None:
    """An engine takes longer to read than was estimated.

    If the engine looked idle from then on, more prompts would be sent there,
    and each would wait longer than the previous one.
    """
    registry = LoadRegistry()
    registry.begin(REQUEST, {ENGINE: Assignment(read_ms=800)}, now=10)
    assert busy_ms(registry, 11.8) == 500


def test_later_part_is_read_first() -> None:
    registry = LoadRegistry()
    first = Assignment(read_ms=500, is_ahead=True)
    second = Assignment(read_ms=300, is_ahead=True)
    registry.begin(RequestId('first'), {ENGINE: first}, now=10)
    registry.begin(RequestId('second'), {ENGINE: second}, now=10.1)
    forecast = forecast_passes(registry.load(ENGINE, 10.1), COSTS)
    done = {
        prompt.key: round(done_ms)
        for prompt, done_ms in zip(
            forecast.waiting, forecast.done_ms, strict=True
        )
    }
    assert done == {'first': 700, 'second': 300}


def test_report_of_a_peer_expires() -> None:
    """A peer starts a long prompt and sends no more reports."""
    registry = LoadRegistry()
    unread = UnreadPrompt('long', 20, read_ms=1000, waited_ms=0, slack_ms=3000)
    update = share(requests=1, unread=(unread,))
    registry.apply_update(PEER, [update], now=10, is_full=True)
    assert busy_ms(registry, 10.4) == 600
    assert registry.load(ENGINE, 10.4).requests == 1
    assert registry.load(ENGINE, 10.1 + STALE_SECONDS) == EngineLoad()


def test_full_update_repairs_a_lost_one() -> None:
    """The update that a request has ended is lost."""
    registry = LoadRegistry()
    registry.apply_update(PEER, [share(requests=5)], now=10, is_full=False)
    registry.apply_update(PEER, [], now=11, is_full=True)
    assert registry.load(ENGINE, 11).requests == 0


def test_only_changed_endpoints_are_reported() -> None:
    registry = LoadRegistry()
    registry.begin(REQUEST, {ENGINE: Assignment(read_ms=100)}, now=10)
    assert registry.pop_changed() == {ENGINE}
    assert registry.pop_changed() == set()
    registry.end(REQUEST, [ENGINE])
    reported = registry.own_shares(registry.pop_changed(), now=11)
    assert reported == (EngineShare(ENGINE, EngineLoad()),)


OTHER_ZONE = ZoneId('z2')
OTHER_PEER = PeerId('entry-9')


def test_cell_summary_is_added_to_own_work() -> None:
    registry = LoadRegistry()
    registry.begin(REQUEST, {ENGINE: Assignment(read_ms=100)}, now=10)
    registry.apply_cell_summary(OTHER_ZONE, [share(requests=3)], now=10.5)
    assert registry.load(ENGINE, 10.5).requests == 4


def test_receiver_own_work_is_left_out_of_its_summary() -> None:
    """An entry sends short requests to another cell and gets its summary.

    If the summary included these requests, the entry would count them twice
    for a second.
    """
    registry = LoadRegistry()
    registry.apply_update(PEER, [share(requests=2)], now=10, is_full=False)
    registry.apply_update(
        PeerId('entry-3'), [share(requests=1)], now=10, is_full=False
    )
    reported = registry.cell_shares([ENGINE], 10, PEER)
    assert reported[0].load.requests == 1


def test_engine_left_out_of_a_cell_summary_is_idle() -> None:
    registry = LoadRegistry()
    registry.apply_cell_summary(OTHER_ZONE, [share(requests=3)], now=10)
    registry.apply_cell_summary(OTHER_ZONE, [], now=11)
    assert registry.load(ENGINE, 11) == EngineLoad()


def test_reports_of_a_silent_cell_expire() -> None:
    """A whole zone is cut off.

    If old reports of its engines still counted, this entry would avoid or
    prefer these engines long after their load has changed.
    """
    registry = LoadRegistry()
    registry.apply_cell_summary(
        OTHER_ZONE, [share(requests=5)], now=10, short_requests_per_s=40
    )
    now = 10.1 + STALE_SECONDS
    assert registry.load(ENGINE, now) == EngineLoad()
    assert not registry.predicted_demand(
        now, everywhere=True
    ).short_requests_per_s


def test_demand_of_other_cells_is_included_on_request() -> None:
    registry = LoadRegistry()
    registry.apply_update(
        PEER, [], now=10, is_full=True, short_requests_per_s=5
    )
    registry.apply_cell_summary(OTHER_ZONE, [], now=10, short_requests_per_s=40)
    assert registry.predicted_demand(10).short_requests_per_s == 5
    assert (
        registry.predicted_demand(10, everywhere=True).short_requests_per_s
        == 45
    )


def test_cell_shares_group_streams_by_pause() -> None:
    registry = LoadRegistry()
    for number, pause_ms in enumerate((250, 250, 800)):
        request = RequestId(f'r{number}')
        work = {ENGINE: Assignment(read_ms=10, pause_ms=pause_ms)}
        registry.begin(request, work, now=10)
        registry.record_first_token(request, [ENGINE])
    registry.apply_update(
        PEER, registry.own_shares([ENGINE], 10), now=10, is_full=True
    )
    load = registry.cell_shares([ENGINE], 10, OTHER_PEER)[0].load
    assert load.requests == 6
    weights = {
        objective.pause_ms: objective.weight
        for objective in load.pause_objectives
    }
    assert weights == {250: 4, 800: 2}


def test_report_age_is_that_of_the_oldest_report() -> None:
    registry = LoadRegistry()
    assert registry.report_age(ENGINE, 10) is None
    registry.apply_update(PEER, [share(requests=1)], now=10, is_full=False)
    registry.apply_update(
        PeerId('entry-3'), [share(requests=1)], now=11, is_full=False
    )
    assert registry.report_age(ENGINE, 12) == 2
    registry.apply_cell_summary(OTHER_ZONE, [share(requests=3)], now=11)
    assert registry.report_age(ENGINE, 12) == 1


def test_report_of_a_silent_peer_is_not_forwarded() -> None:
    """A peer is cut off after it has sent work to an engine of this cell.

    If this work were reported to other cells, they would avoid the engine
    permanently.
    """
    registry = LoadRegistry()
    registry.apply_update(PEER, [share(requests=3)], now=10, is_full=False)
    assert registry.cell_shares([ENGINE], 11, OTHER_PEER)
    assert not registry.cell_shares([ENGINE], 10.1 + STALE_SECONDS, OTHER_PEER)
