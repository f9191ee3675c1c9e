"""What a caller asked for, checked and ready to be offered."""

import msgspec
from sycamore_core.decisions import RequestView
from sycamore_core.ids import IdempotencyKey, Incarnation
from sycamore_core.messages import PlainCall
from sycamore_core.settings import Target


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request.

    Attributes
    ----------
    bound_incarnation
        Incarnation to which the id is bound; 0 for an id minted here.
    settings_version
        The version with which the request was checked.
    target
        What the service commits to for requests of this band, if anything.
    """

    view: RequestView
    payload: bytes
    plain_call: PlainCall | None = None
    idempotency_key: IdempotencyKey = IdempotencyKey('')
    bound_incarnation: Incarnation = Incarnation(0)
    settings_version: int = 0
    target: Target | None = None
