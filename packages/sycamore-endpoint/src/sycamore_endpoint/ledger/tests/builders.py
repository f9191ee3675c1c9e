"""Builders of offers and owners for tests of the ledgers."""

from sycamore_core.ids import (
    Attempt,
    Incarnation,
    RequestId,
    ServiceId,
    WorkspaceId,
)
from sycamore_core.messages import Offer

from ..records import Owner

FIRST = Owner('tcp://127.0.0.1:1', Incarnation(1))
SECOND = Owner('tcp://127.0.0.1:2', Incarnation(2))


def make_offer(name: str = 'r', attempt: int = 1, **changes: object) -> Offer:
    fields: dict[str, object] = {
        'request_id': RequestId(name),
        'attempt': Attempt(attempt),
        'incarnation': Incarnation(1),
        'workspace': WorkspaceId('w'),
        'service': ServiceId('s'),
        'budget': 10.0,
        'prompt_tokens': 10,
        'max_output_tokens': 10,
        'idempotent': False,
        'payload': b'',
    }
    fields.update(changes)
    return Offer(**fields)
