"""Forecasts of the passes of an engine, and the costs derived from them."""

from hypothesis import given
from hypothesis import strategies as st

from ....routing import EngineLoad, PauseObjective, UnreadPrompt
from ..engine_harm import EngineInterference
from ..pass_forecast import forecast_passes
from .builders import COSTS, engine, generating_engines, reading_engine

PASS_MS = COSTS.pass_ms(writers=4, context_tokens=20_000)
SLACK_MS = 3000
#: Costs that count as none and as nearly one missed objective of a short
#: request.
NEGLIGIBLE_COST = 0.1
NEARLY_ONE_MISS = 0.9


def unread_part(
    key: str, read_ms: float, waited_ms: float, **more: object
) -> UnreadPrompt:
    return UnreadPrompt(key, 20, read_ms, waited_ms, SLACK_MS, **more)


def generating_load(*unread: UnreadPrompt) -> EngineLoad:
    """Return the load of an engine that generates four short answers."""
    load = generating_engines(1)[0].load
    load.unread = unread
    return load


def test_generating_engine_accepts_work_between_passes_only() -> None:
    """An engine that generates short answers reads a long part.

    A short request that is sent there waits for the end of this pass. If the
    request were assumed to be read beside the part, its first token would be
    expected a second too early.
    """
    forecast = forecast_passes(
        generating_load(unread_part('long', 1500, waited_ms=200)), COSTS
    )
    assert not forecast.waiting
    assert 1300 < forecast.next_intake_ms < 1300 + 2 * PASS_MS
    assert forecast.busy_ms == forecast.next_intake_ms


def test_later_part_does_not_delay_the_running_pass() -> None:
    """A third long prompt arrives at an engine that generates and reads.

    The first prompt is in the running pass and cannot be delayed. The second
    waits for the end of that pass, and the third is read with the second.
    """
    load = generating_load(
        unread_part('first', 900, waited_ms=500),
        unread_part('second', 300, waited_ms=100),
    )
    forecast = forecast_passes(load, COSTS)
    assert [prompt.key for prompt in forecast.waiting] == ['second']
    interference = EngineInterference(
        engine(1, **as_fields(load)), COSTS, 100_000
    )
    assert set(interference.delay_costs(400)) == {'second'}
    alone = forecast.next_intake_ms + forecast.pass_ms + 300 + 400
    assert interference.done_ms(400, is_ahead=True) == alone


def test_answer_that_begins_soon_counts_as_a_stream() -> None:
    """An engine has read its part of a prompt whose answer it generates.

    Other engines still read their parts. If the engine counted as idle, a part
    of another prompt would be placed there and read in the first pass of the
    answer, which would pause for the whole reading time.
    """
    waits = unread_part(
        'first', 300, waited_ms=400, is_ahead=True, pause_ms=800
    )
    load = EngineLoad(requests=1, unread=(waits,))
    assert forecast_passes(load, COSTS).starting == (waits,)
    interference = EngineInterference(
        engine(1, **as_fields(load)), COSTS, 100_000
    )
    assert interference.cost_ahead(1200) > 10


def test_prompt_behind_a_short_request_lengthens_its_first_pause() -> None:
    """A short request was just sent to an engine without streams.

    The first event of its answer has not arrived yet. If the request cost
    nothing until then, a prompt of 50,000 tokens would be placed behind it and
    read in the first pass of the short answer, which would pause for a third
    of a second.
    """
    sent = unread_part('turn', 20, waited_ms=10, pause_ms=250)
    interference = EngineInterference(
        engine(1, requests=1, unread=(sent,)), COSTS, 50_000
    )
    assert interference.cost_behind(350) > 10
    assert interference.cost_behind(20) < NEGLIGIBLE_COST


def test_prompt_in_the_same_pass_delays_a_short_request() -> None:
    """A short request waits for the next pass of an engine that generates.

    A prompt that is added to this pass delays the first event of the short
    request, which is emitted when both prompts have been read.
    """
    sent = UnreadPrompt('turn', 1, 20, 5, slack_ms=300, pause_ms=250)
    load = generating_load(sent)
    interference = EngineInterference(
        engine(1, **as_fields(load)), COSTS, 50_000
    )
    assert interference.cost_behind(350) > NEARLY_ONE_MISS


def test_reading_engine_accepts_a_part_at_once() -> None:
    """An engine that only reads receives a part of another prompt."""
    interference = EngineInterference(reading_engine(1, 900), COSTS, 100_000)
    assert interference.done_ms(200, is_ahead=True) == 200
    assert interference.done_ms(200, is_ahead=False) == 1100


def test_second_missed_pause_of_a_stream_costs_less() -> None:
    """Another part arrives for streams that already pause for a second.

    Their objective is already missed. If it were counted again, the part would
    go elsewhere and make other streams miss their objectives.
    """
    unloaded = EngineInterference(
        engine(1, **as_fields(generating_load())), COSTS, 100_000
    )
    load = generating_load(
        unread_part('first', 900, 500), unread_part('second', 900, 100)
    )
    delayed = EngineInterference(engine(2, **as_fields(load)), COSTS, 100_000)
    assert unloaded.pause_cost(700) > 4
    assert delayed.pause_cost(700) < 2


def test_stream_of_a_long_prompt_weighs_more_than_a_short_one() -> None:
    """A part is placed beside the answer of an audit or of a guest.

    A pause of the audit costs the operator sixteen times as much.
    """
    audit = engine(
        1, requests=1, writers=1, pause_objectives=(PauseObjective(1000, 21),)
    )
    guest = engine(
        2, requests=1, writers=1, pause_objectives=(PauseObjective(250, 1),)
    )
    interferences = [
        EngineInterference(candidate, COSTS, 200_000)
        for candidate in (audit, guest)
    ]
    assert interferences[0].pause_cost(1200) > 10 * interferences[1].pause_cost(
        1200
    )


def test_answer_that_begins_with_the_next_pass_counts_as_a_stream() -> None:
    """A short request is read by the running pass and generates after it."""
    short = unread_part('turn', 30, waited_ms=100, pause_ms=250.0)
    load = generating_load(unread_part('long', 900, waited_ms=100), short)
    assert forecast_passes(load, COSTS).starting == (short,)


@given(
    st.lists(
        st.tuples(
            st.floats(1, 2000),
            st.floats(0, 2000),
            st.booleans(),
        ),
        max_size=6,
    ),
    st.integers(0, 3),
)
def test_forecast_accounts_for_all_reading(
    parts: list[tuple[float, float, bool]],
    writers: int,
) -> None:
    """No waiting prompt is done before an engine could have read it."""
    unread = tuple(
        unread_part(f'p{number}', read_ms, waited_ms, is_ahead=is_ahead)
        for number, (read_ms, waited_ms, is_ahead) in enumerate(parts)
    )
    load = EngineLoad(requests=writers, writers=writers, unread=unread)
    forecast = forecast_passes(load, COSTS)
    assert len(forecast.waiting) == len(forecast.done_ms)
    for one, done_ms in zip(forecast.waiting, forecast.done_ms, strict=True):
        assert done_ms >= one.read_ms - one.waited_ms - 1
    total = sum(read_ms for read_ms, _, _ in parts)
    assert forecast.queued_ms <= total + 1


def as_fields(load: EngineLoad) -> dict[str, object]:
    return {name: getattr(load, name) for name in load.__struct_fields__}
