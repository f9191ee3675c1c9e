"""Handles of KV caches that one engine exports and another imports.

A handle names the span and how many tokens of the prompt it and the spans
before it cover.
"""

from ..client import get
from .sequences import SpanRequest

_OK = 200


def handle_of(span: SpanRequest) -> str:
    """Return the handle of a span.

    Examples
    --------
    >>> span = SpanRequest(group='g', span=1, tokens=5, first_token=10)
    >>> handle_of(span), covered_tokens(handle_of(span))
    ('g/1@15', 15)
    """
    covered = span.first_token + span.tokens
    return f'{span.handle}@{covered}'


def covered_tokens(handle: str | None) -> int:
    """Return how many tokens an imported KV cache covers; 0 for none."""
    if not handle:
        return 0
    _, _, covered = handle.rpartition('@')
    return int(covered)


async def is_exported(handle: str | None, source: str | None) -> bool:
    """Return whether the engine at `source` still holds the KV cache."""
    if not handle or not source:
        return not handle
    address = source if '//' in source else f'http://{source}'
    response = await get(f'{address}/v1/spans')
    group, _, _ = handle.rpartition('/')
    return response.code == _OK and group.encode() in response.body
