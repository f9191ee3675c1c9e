"""Fixtures of the process tests: one fleet a module, whole before each test."""

import asyncio
import pathlib
from collections.abc import Iterator

import pytest
from sycamore_standins.fleet import Fleet, FleetPlan

from .builders import small_plan, start_fleet


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Keep the tests of a module on one worker, since they share a fleet."""
    for item in items:
        if item.path.parent == pathlib.Path(__file__).parent:
            item.add_marker(pytest.mark.xdist_group(item.path.stem))


@pytest.fixture(scope='module')
def plan() -> FleetPlan:
    """Return the plan of the module's fleet; a module may have its own."""
    return small_plan()


@pytest.fixture(scope='module')
def module_fleet(
    plan: FleetPlan,
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Fleet]:
    """Start a fleet and end it after the module."""
    yield from start_fleet(plan, tmp_path_factory.mktemp('fleet'))


@pytest.fixture
def fleet(module_fleet: Fleet) -> Fleet:
    """Return the fleet with everything running, healed and well-behaved."""
    asyncio.run(module_fleet.restore())
    return module_fleet
