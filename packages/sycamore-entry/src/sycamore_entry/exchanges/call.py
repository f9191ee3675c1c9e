"""A validated request of a caller, ready to be offered."""

import msgspec
from sycamore_core.decisions import RequestView
from sycamore_core.ids import IdempotencyKey, Incarnation
from sycamore_core.messages import PlainCall
from sycamore_core.settings import Target


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request of a caller.

    Attributes
    ----------
    bound_incarnation
        Incarnation to which the id is bound; 0 for an id minted by the entry.
    settings_version
        Version of the settings with which the request was validated.
    target
        Latency target of the service for requests of this band, if any.
    """

    view: RequestView
    payload: bytes
    plain_call: PlainCall | None = None
    idempotency_key: IdempotencyKey = IdempotencyKey('')
    bound_incarnation: Incarnation = Incarnation(0)
    settings_version: int = 0
    target: Target | None = None
