"""The text that the stand-in engine generates.

It follows from the request id and the number of the step alone, so that a
caller can tell that each piece of its answer is in place and its own.
"""

import hashlib

_MARK_BYTES = 6


def mark_of(request_id: str) -> str:
    """Return what all the text of one request starts with.

    Examples
    --------
    >>> mark_of('r1') == mark_of('r2')
    False
    """
    hashed = hashlib.blake2b(request_id.encode(), digest_size=_MARK_BYTES)
    return hashed.hexdigest()


def step_text(request_id: str, sequence: int) -> str:
    """Return the text of one step of a request."""
    return f'{mark_of(request_id)}.{sequence} '


def text_between(request_id: str, first: int, last: int) -> str:
    """Return the text of the steps from `first` to before `last`.

    Examples
    --------
    >>> text_between('r1', 0, 2) == step_text('r1', 0) + step_text('r1', 1)
    True
    """
    steps = range(first, last)
    return ''.join(step_text(request_id, number) for number in steps)
