"""The status codes that HTTP defines."""

#: Lowest and highest status code, as in section 15 of RFC 9110.
_LOWEST_STATUS = 100
_HIGHEST_STATUS = 599


def is_http_status(code: int) -> bool:
    """Return whether a status code belongs to one of the classes of HTTP.

    Parsers take any three digits. An answer with another status has no meaning
    that a client could rely on.

    Examples
    --------
    >>> [is_http_status(code) for code in (0, 99, 100, 599, 600)]
    [False, False, True, True, False]
    """
    return _LOWEST_STATUS <= code <= _HIGHEST_STATUS
