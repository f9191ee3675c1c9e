"""Division of a prompt among the engines of a group."""

from collections.abc import Sequence

from sycamore_core.decisions.long_prompts import Span
from sycamore_core.messages import Offer
from sycamore_core.settings import EndpointSettings, FleetSettings


def split_prompt(
    offer: Offer,
    fleet: FleetSettings,
    leader: EndpointSettings,
) -> tuple[Span, ...]:
    """Return the spans in order, with the span of the leader last.

    Each engine gets a span in proportion to its memory. The result is empty if
    a member is not in the published settings.
    """
    by_address = {
        endpoint.address: endpoint for endpoint in fleet.endpoints.values()
    }
    known = [by_address.get(address) for address in offer.members]
    group = [endpoint for endpoint in known if endpoint is not None]
    if len(group) < len(known):
        return ()
    return _split(offer, (*group, leader))


def _split(
    offer: Offer,
    group: Sequence[EndpointSettings],
) -> tuple[Span, ...]:
    total = offer.prompt_tokens + offer.max_output_tokens
    capacity = sum(endpoint.capacity_tokens for endpoint in group)
    spans: list[Span] = []
    cumulative = 0
    first = 0
    for endpoint in group:
        cumulative += endpoint.capacity_tokens
        end = total * cumulative // max(capacity, 1)
        spans.append(Span(endpoint.endpoint, first, end - first))
        first = end
    return tuple(spans)
