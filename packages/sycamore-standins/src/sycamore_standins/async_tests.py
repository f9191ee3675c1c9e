"""Runs test functions that are coroutines; to be imported by a conftest."""

import asyncio
import inspect

import pytest


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine test in an event loop of its own."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    asyncio.run(
        pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}),
    )
    return True
