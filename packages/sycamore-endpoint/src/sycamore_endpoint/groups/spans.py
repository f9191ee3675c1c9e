"""How a prompt is cut among the engines of a group."""

from collections.abc import Sequence

from sycamore_core.decisions.long_prompts import Span
from sycamore_core.messages import Offer
from sycamore_core.settings import EndpointSettings, FleetSettings


def divide(
    offer: Offer,
    fleet: FleetSettings,
    leader: EndpointSettings,
) -> tuple[Span, ...]:
    """Return the spans in order, that of the leader last.

    Each engine gets a part in proportion to its memory. Nothing is returned
    if a member is not in the published settings.
    """
    by_address = {entry.address: entry for entry in fleet.endpoints.values()}
    known = [by_address.get(address) for address in offer.members]
    group = [entry for entry in known if entry is not None]
    if len(group) < len(known):
        return ()
    return _cut(offer, (*group, leader))


def _cut(
    offer: Offer,
    group: Sequence[EndpointSettings],
) -> tuple[Span, ...]:
    total = offer.prompt_tokens + offer.max_output_tokens
    capacity = sum(entry.capacity_tokens for entry in group)
    spans: list[Span] = []
    counted = 0
    first = 0
    for entry in group:
        counted += entry.capacity_tokens
        end = total * counted // max(capacity, 1)
        spans.append(Span(entry.endpoint, first, end - first))
        first = end
    return tuple(spans)
