"""Garbage collection amid the last answers of a stopping entry."""

import gc

from sycamore_core.routing import RouteKind

from ..stopping import GracefulStop
from .builders import RawEndpoint, never_reply, route, running_entry


async def test_forced_end_leaves_nothing_to_a_full_collection() -> None:
    """Guards against a collection that takes the time of the last answers."""
    endpoint = RawEndpoint('e1', never_reply)
    async with running_entry(route(RouteKind.SAFE), endpoint) as entry:
        stop = GracefulStop(entry.context, entry.connections)
        try:
            stop._force(stop.began)
            assert not gc.get_objects(generation=2)
        finally:
            gc.unfreeze()
