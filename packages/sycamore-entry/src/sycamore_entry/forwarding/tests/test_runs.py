"""What runs at most once, what is refused, and what is tried again."""

import asyncio

from sycamore_core.routing import RouteKind

from .builders import (
    RawEndpoint,
    entry_before,
    route,
    say_nothing,
    saying,
    whole,
)
from .builders_answers import in_turn

SAFE = route(RouteKind.SAFE)
UNSAFE = route(RouteKind.UNSAFE)
NOT_RUN = whole('', 503, 'Not-Run: 1\r\n')


def runs(*endpoints: RawEndpoint) -> int:
    return sum(len(endpoint.requests) for endpoint in endpoints)


async def test_kept_connection_closes_under_an_unsafe_request() -> None:
    """An endpoint closes a kept connection as a deposit is sent on it.

    Nobody could tell whether the deposit was recorded; sent again by itself
    it could be recorded twice. An unsafe request gets a connection of its
    own, which nothing was sent on before.
    """
    endpoint = RawEndpoint('e1', saying(whole()))
    async with entry_before(UNSAFE, endpoint) as entry:
        for _ in range(3):
            assert (await entry.ask()).startswith(b'HTTP/1.1 200')
        assert entry.context.pool.opened == 3


async def test_lost_answer_to_an_unsafe_request() -> None:
    """A deposit is recorded and its answer is lost with the connection.

    The family is told that it failed, not that it did not run, and it is not
    recorded a second time.
    """
    one = RawEndpoint('e1', saying(close=True))
    two = RawEndpoint('e2', saying(close=True))
    async with entry_before(UNSAFE, one, two) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in answer
    assert runs(one, two) == 1


async def test_lost_answer_to_a_safe_request_is_asked_for_again() -> None:
    """A look-up's answer is lost; the guest gets it from another replica."""
    answers = iter((b'', whole('found')))

    async def talk(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        said = next(answers)
        if not said:
            raise ConnectionError
        writer.write(said)

    endpoints = (RawEndpoint('e1', talk), RawEndpoint('e2', talk))
    async with entry_before(SAFE, *endpoints) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'found')


async def test_unsafe_request_that_did_not_run_is_tried_elsewhere() -> None:
    """A full replica says that it has not run a deposit: another one does."""
    talk = in_turn(NOT_RUN, whole('recorded'))
    endpoints = (RawEndpoint('e1', talk), RawEndpoint('e2', talk))
    async with entry_before(UNSAFE, *endpoints) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'recorded')


async def test_all_replicas_are_full() -> None:
    """No replica runs a deposit; the family is told so, and when to return."""
    endpoints = [RawEndpoint(f'e{one}', saying(NOT_RUN)) for one in range(3)]
    async with entry_before(UNSAFE, *endpoints) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 503')
    # 0.4 s, spread by the request's id so that not all come back at once.
    assert b'Retry-After: 0.51' in answer


async def test_request_that_may_have_run_is_not_refused() -> None:
    """The only replica of a service runs a look-up and its answer is lost.

    There is nowhere else to send it. To answer that it has not run, as if all
    replicas were full, would be untrue.
    """
    only = RawEndpoint('e1', saying(close=True))
    async with entry_before(SAFE, only) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in answer


async def test_own_failure_of_an_endpoint_is_handed_on() -> None:
    """A replica answers that a deposit failed; the answer is its own."""
    failed = whole('no such guest', 500)
    async with entry_before(UNSAFE, RawEndpoint('e1', saying(failed))) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 500')
    assert answer.endswith(b'no such guest')


async def test_failure_of_the_only_replica_that_is_left() -> None:
    """Two of three replicas have left, and the third fails now and then.

    A guest's look-up that it failed is asked for again there; given up, one
    look-up in seven would be lost for as long as the others are away.
    """
    talk = in_turn(whole('busy', 500), whole('found'))
    async with entry_before(SAFE, RawEndpoint('e1', talk)) as entry:
        answer = await entry.ask()
    assert answer.endswith(b'found')


async def test_failure_is_handed_on_where_nothing_else_can_be_tried() -> None:
    """The only replica fails a look-up each time.

    The guest is told what the replica said, not that nothing could be done.
    """
    endpoint = RawEndpoint('e1', saying(whole('no such guest', 500)))
    async with entry_before(SAFE, endpoint) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 500')
    assert runs(endpoint) == 2


async def test_promise_of_an_endpoint_that_may_have_run_it() -> None:
    """A replica sheds a deposit without saying that it has not run it.

    Handed on, its status would promise so, and the family would send the
    deposit again.
    """
    doubtful = whole('busy', 503)
    async with entry_before(
        UNSAFE, RawEndpoint('e1', saying(doubtful))
    ) as entry:
        answer = await entry.ask()
    assert answer.startswith(b'HTTP/1.1 502')


async def test_answer_comes_at_the_time_limit() -> None:
    """A replica hangs; the caller gets an answer when its time is over."""
    hanging = RawEndpoint('e1', say_nothing)
    hanging_seconds = 0.3
    made = route(RouteKind.UNSAFE, time_limit=hanging_seconds)
    async with entry_before(made, hanging) as entry:
        began = entry.context.clock.monotonic()
        answer = await entry.ask()
        passed = entry.context.clock.monotonic() - began
    assert answer.startswith(b'HTTP/1.1 504')
    assert passed > hanging_seconds / 2
    assert passed < hanging_seconds * 3


async def test_refused_at_the_door() -> None:
    """Unknown host, path and key each get their own answer; nothing runs."""
    endpoint = RawEndpoint('e1', saying(whole()))
    async with entry_before(SAFE, endpoint) as entry:
        for headers, line, status in (
            ({'Host': 'other.example'}, 'GET /a/x HTTP/1.1', b'404'),
            ({}, 'GET /b/x HTTP/1.1', b'404'),
            ({'Key': 'unknown'}, 'GET /a/x HTTP/1.1', b'401'),
            ({'Patience': 'soon'}, 'GET /a/x HTTP/1.1', b'400'),
        ):
            answer = await entry.ask(line, **headers)
            assert answer.split(b' ')[1] == status, line
    assert not endpoint.requests


async def test_smuggled_request_is_refused() -> None:
    """A request names a length and chunks, so that its end is ambiguous.

    Taken one way here and the other way by an endpoint, its rest would run
    there as a request that nobody sent.
    """
    endpoint = RawEndpoint('e1', saying(whole()))
    async with entry_before(SAFE, endpoint) as entry:
        answer = await entry.ask(
            'POST /a/x HTTP/1.1',
            'Transfer-Encoding: chunked',
            body=b'0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n\r\n',
        )
    assert b'400' in answer.partition(b'\r\n')[0]
    assert not endpoint.requests
