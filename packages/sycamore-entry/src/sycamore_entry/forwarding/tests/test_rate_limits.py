"""Endpoints that name a rate get no more from all entries together."""

from sycamore_core.routing import RouteKind

from .builders import (
    MODEL,
    SERVICE,
    RawEndpoint,
    entry_before,
    route,
    saying,
    snapshot_of,
    whole,
)
from .builders_answers import in_turn
from .builders_crash import asked_at
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_mesh import entries, running

SAFE = route(RouteKind.SAFE)
ASKED = 40
#: What an endpoint may get in some four seconds that names one a second.
MOST_ARRIVALS = 11


def limited(number: int, rate: float = 1) -> tuple[RawEndpoint, ...]:
    """Return endpoints that name a rate in each answer."""
    answer = whole(extra=f'Limit: {rate}\r\n')
    return tuple(
        RawEndpoint(f'e{place}', saying(answer)) for place in range(number)
    )


async def test_limited_endpoints_get_no_more_than_they_name() -> None:
    """Guards against endpoints in need that get all that they look idle for."""
    endpoints = limited(2)
    listed = await snapshot_of(SAFE, endpoints)
    async with running(entries(2, snapshot=listed)) as made:
        async with asked_at(made[0]) as one, asked_at(made[1]) as other:
            for number in range(ASKED):
                caller = (one, other)[number % 2]
                answer = await caller.ask(Id=f'q{number}')
    arrivals = [len(endpoint.requests) for endpoint in endpoints]
    assert max(arrivals) <= MOST_ARRIVALS
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


async def test_refusal_that_names_no_limit_does_not_end_one() -> None:
    """Guards against a limit that is lifted by an endpoint that is full."""
    talk = in_turn(
        whole(extra='Limit: 5\r\n'),
        whole('', 503, 'Not-Run: 1\r\n'),
        whole(),
    )
    endpoint = RawEndpoint('e1', talk)
    async with entry_before(SAFE, endpoint) as entry:
        limits = entry.context.dispatcher.limits
        lifetime = endpoint.record(SERVICE).lifetime
        found = []
        for _ in range(3):
            await entry.ask()
            found.append(
                limits.limit(lifetime, entry.context.clock.monotonic())
            )
    assert found == [5, 5, None]


async def test_limit_that_only_an_order_names_is_heard() -> None:
    """Guards against a limit that is lost as an order's answer is a status."""
    fleet = engines(ANSWER, saying(whole('{}', extra='Limit: 5\r\n')))
    async with entry_before(STREAM, *fleet) as entry:
        await entry.ask(Prompt=HUGE)
        now = entry.context.clock.monotonic()
        limits = entry.context.dispatcher.limits
        ordered = [engine for engine in fleet if engine.orders]
        found = {
            limits.limit(engine.record(MODEL).lifetime, now)
            for engine in ordered
        }
    assert found == {5}
