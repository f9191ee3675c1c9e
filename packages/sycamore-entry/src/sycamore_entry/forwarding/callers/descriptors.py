"""Descriptors that the process may open."""

import resource

#: Descriptors of a process without a limit of its own.
_UNLIMITED = 1_000_000


def max_descriptors() -> int:
    """Return how many descriptors the process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED if soft == resource.RLIM_INFINITY else soft
