"""What the head of an HTTP answer tells about the answer.

Parsers are lenient here: they take any three digits for a status, and any end
of a connection for the end of an answer that has no other.
"""

from tornado.httputil import HTTPHeaders

#: Lowest and highest status code, as in section 15 of RFC 9110.
_LOWEST_STATUS = 100
_HIGHEST_STATUS = 599
#: Statuses of answers that have no body, as in section 6.3 of RFC 9112.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
_METHOD_WITHOUT_BODY = 'HEAD'


def is_http_status(code: int) -> bool:
    """Return whether a status code belongs to one of the classes of HTTP.

    An answer with another status has no meaning that a client could rely on.

    Examples
    --------
    >>> [is_http_status(code) for code in (0, 99, 100, 599, 600)]
    [False, False, True, True, False]
    """
    return _LOWEST_STATUS <= code <= _HIGHEST_STATUS


def has_length(headers: HTTPHeaders) -> bool:
    """Return whether a head has the length of its body, or announces chunks."""
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def ends_with_connection(
    method: str, status: int, headers: HTTPHeaders
) -> bool:
    """Return whether only the end of the connection ends an answer.

    Such an answer is complete only if its server has ended it in order.

    Parameters
    ----------
    method
        Method of the request.

    Examples
    --------
    >>> ends_with_connection('GET', 200, HTTPHeaders())
    True
    >>> ends_with_connection('GET', 200, HTTPHeaders({'Content-Length': '3'}))
    False
    >>> ends_with_connection('HEAD', 200, HTTPHeaders())
    False
    """
    if method == _METHOD_WITHOUT_BODY or status in _STATUSES_WITHOUT_BODY:
        return False
    return not has_length(headers)
