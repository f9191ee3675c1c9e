"""How many entries an entry divides the limits of the fleet by."""

import asyncio

from sycamore_core.ids import PeerId, ServiceId, ZoneId

from ..process import ForwardingProcess
from .builders import ENDPOINT
from .builders_mesh import entries, running

LATE_SERVICE = ServiceId('late')


def grant_retries(process: ForwardingProcess) -> int:
    """Return how many retries an entry grants now for one service."""
    context = process.context
    budget = context.retry_budget(LATE_SERVICE)
    now = context.clock.monotonic()
    granted = 0
    while granted < 1000 and budget.try_acquire(now):
        granted += 1
    return granted


async def test_entry_without_contact_takes_no_share() -> None:
    """Guards against an entry that starts cut off and takes the whole slack."""
    _, second = entries(2)
    assert grant_retries(second) <= 1
    await second.close()


async def test_first_retry_for_a_service_counts_lost_entries() -> None:
    """Guards against shares that grow while the other entries are cut off."""
    first, second = entries(2)
    mesh = first.mesh
    now = first.context.clock.monotonic()
    for name in ('a', 'b', 'c'):
        address = f'tcp://{name}'
        mesh.membership.mark_alive(address, ZoneId('a'), PeerId(name), now)
    mesh.entry_count.update(now)
    now += 10
    mesh.membership.expire(now)
    mesh.entry_count.update(now)
    slack = first.context.settings.retry_limit.slack
    assert grant_retries(first) <= slack / 4
    await first.close()
    await second.close()


async def test_entry_counts_the_entries_that_its_peers_have_lost() -> None:
    """Guards against a start in a partition, with shares for one side only."""
    first, second = entries(2)
    now = first.context.clock.monotonic()
    lost = 'tcp://127.0.0.1:9'
    first.mesh.membership.add(ZoneId('a'), (lost,), now - 10)
    async with running([first, second]):
        async with asyncio.timeout(5):
            while second.context.fleet_size.divisor != 3:
                await asyncio.sleep(0.02)
    assert lost not in second.mesh.membership.members


async def test_entry_without_contact_takes_no_rate_of_an_endpoint() -> None:
    """Guards against entries that each use the whole rate of an endpoint.

    They start cut off from each other, and an endpoint names its rate to each.
    """
    _, second = entries(2)
    second.mesh.update_membership()
    limits = second.context.dispatcher.limits
    now = second.context.clock.monotonic()
    limits.said(ENDPOINT.lifetime, 5, now)
    granted = 0
    while granted < 100 and limits.has_room(ENDPOINT.lifetime, now):
        limits.sent(ENDPOINT.lifetime, now)
        granted += 1
    assert granted == 1
    await second.close()


async def test_entry_that_lost_its_peers_reads_no_more_often() -> None:
    """Guards against a platform that refuses the reads of a split fleet.

    Each entry would read as often as all of them together may.
    """
    first, second = entries(2)
    mesh = first.mesh
    now = first.context.clock.monotonic()
    for number in range(30):
        address = f'tcp://{number}'
        peer = PeerId(address)
        mesh.membership.mark_alive(address, ZoneId('a'), peer, now - 10)
    mesh.update_membership()
    assert first.context.keeper.read_limit.entries == 31
    assert mesh.membership.expected_count == 1
    await first.close()
    await second.close()
