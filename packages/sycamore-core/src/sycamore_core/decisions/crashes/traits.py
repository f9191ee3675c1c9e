"""What requests have in common, and what crashes are attributed to.

Load pattern: unlike requests, no two with the same content, crash each engine
that begins to answer them, because their prompts have one part in common. Other
callers send harmless prompts with the other parts of these prompts.

Without this, each of these requests is new to all entries and crashes as many
endpoints as the first one. If instead the caller, the route or the first part
were blamed, half of the callers of the route would be refused.

The last part of a prompt belongs to one request or session. It is covered by
the content of the request and is no trait of its own.
"""

import enum

from ...hashes import HASH_BYTES
from ...ids import TraitDigest


class TraitKind(enum.StrEnum):
    """What a trait is."""

    CONTENT = 'content'
    PART = 'part'


def is_part(trait: TraitDigest) -> bool:
    """Return whether a trait is a part of a prompt.

    The digest of a part has the length of one hash, that of a content of two.

    Examples
    --------
    >>> is_part(b'01234567'), is_part(b'0123456789abcdef')
    (True, False)
    """
    return len(trait) == HASH_BYTES


def kind_of(trait: TraitDigest) -> TraitKind:
    """Return what a trait is, for logs and metrics."""
    return TraitKind.PART if is_part(trait) else TraitKind.CONTENT
