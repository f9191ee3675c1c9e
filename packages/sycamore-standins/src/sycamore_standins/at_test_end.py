"""Closes what the builders of a test have opened, at the end of the test.

Without this, sockets and clients are left to the garbage collector, which
leaves dozens of descriptors open while other tests run.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextvars import ContextVar

_closers: ContextVar[contextlib.AsyncExitStack | None] = ContextVar(
    'closers', default=None
)


@contextlib.asynccontextmanager
async def closing_at_end() -> AsyncIterator[None]:
    """Close what is opened meanwhile, the latest first."""
    async with contextlib.AsyncExitStack() as closers:
        token = _closers.set(closers)
        try:
            yield
        finally:
            _closers.reset(token)


def close_at_end(close: Callable[[], object]) -> None:
    """Call a function at the end of the test, if a test runs."""
    closers = _closers.get()
    if closers is not None:
        closers.callback(close)


def await_at_end(close: Callable[[], Awaitable[None]]) -> None:
    """Await a function at the end of the test, if a test runs."""
    closers = _closers.get()
    if closers is not None:
        closers.push_async_callback(close)
