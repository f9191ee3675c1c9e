"""Statuses and delays of answers to requests that have not run."""

#: Another entry, or this one later, may serve the request.
UNAVAILABLE = 503
#: The body of the request did not arrive in time.
REQUEST_TIMEOUT = 408
#: Default retry delay of a caller, in seconds. After this time, a process that
#: has just started, or an endpoint that has just refused, usually accepts
#: requests.
RETRY_AFTER_SECONDS = 0.4


def retry_after_field(seconds: float = RETRY_AFTER_SECONDS) -> str:
    """Return the `Retry-After` field of a refusal.

    Examples
    --------
    >>> retry_after_field()
    '0.40'
    """
    return f'{seconds:.2f}'
