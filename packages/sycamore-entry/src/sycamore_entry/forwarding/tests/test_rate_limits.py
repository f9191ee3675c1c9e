"""Rate limits that endpoints set for all entries together."""

from sycamore_core.routing import RouteKind

from .builders import (
    MODEL,
    SERVICE,
    RawEndpoint,
    full_answer,
    reply_with,
    route,
    running_entry,
    snapshot_of,
)
from .builders_answers import reply_in_sequence
from .builders_crash import callers_of
from .builders_engines import ANSWER, HUGE, STREAM, engines
from .builders_mesh import entries, running

SAFE = route(RouteKind.SAFE)
REQUEST_COUNT = 40
#: Most requests to an endpoint in about four seconds at a limit of 1 per
#: second.
MAX_ARRIVALS = 11


def limited(number: int, rate: float = 1) -> tuple[RawEndpoint, ...]:
    """Return endpoints that set a rate limit in each answer."""
    answer = full_answer(extra=f'Limit: {rate}\r\n')
    return tuple(
        RawEndpoint(f'e{place}', reply_with(answer)) for place in range(number)
    )


async def test_rate_limit_holds_across_entries() -> None:
    """Guards against overload of rate-limited endpoints that look idle."""
    endpoints = limited(2)
    listed = await snapshot_of(SAFE, endpoints)
    async with running(entries(2, snapshot=listed)) as made:
        async with callers_of(made[0]) as one, callers_of(made[1]) as other:
            for number in range(REQUEST_COUNT):
                caller = (one, other)[number % 2]
                answer = await caller.ask(Id=f'q{number}')
    arrivals = [len(endpoint.requests) for endpoint in endpoints]
    assert max(arrivals) <= MAX_ARRIVALS
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in answer


async def test_refusal_without_limit_keeps_rate_limit() -> None:
    """Guards against lifting the limit because of a refusal without one."""
    script = reply_in_sequence(
        full_answer(extra='Limit: 5\r\n'),
        full_answer('', 503, 'Not-Run: 1\r\n'),
        full_answer(),
    )
    endpoint = RawEndpoint('e1', script)
    async with running_entry(SAFE, endpoint) as entry:
        limits = entry.context.dispatcher.limits
        lifetime = endpoint.record(SERVICE).lifetime
        found = []
        for _ in range(3):
            await entry.ask()
            found.append(
                limits.limit(lifetime, entry.context.clock.monotonic())
            )
    assert found == [5, 5, None]


async def test_rate_limit_in_answer_to_order_is_applied() -> None:
    """Guards against losing a rate limit from an answer to an order."""
    fleet = engines(ANSWER, reply_with(full_answer('{}', extra='Limit: 5\r\n')))
    async with running_entry(STREAM, *fleet) as entry:
        await entry.ask(Prompt=HUGE)
        now = entry.context.clock.monotonic()
        limits = entry.context.dispatcher.limits
        ordered = [engine for engine in fleet if engine.orders]
        found = {
            limits.limit(engine.record(MODEL).lifetime, now)
            for engine in ordered
        }
    assert found == {5}
