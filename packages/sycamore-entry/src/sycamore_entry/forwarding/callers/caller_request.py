"""A request of a caller that has been read."""

import msgspec
from tornado.httputil import HTTPHeaders, RequestStartLine


class CallerRequest(msgspec.Struct, frozen=True):
    """A complete request of a caller.

    Attributes
    ----------
    arrived_at
        When the head had been received, on the monotonic clock, in seconds.
    exceeds_memory
        Whether the body was dropped because the process holds too many bytes.
    read_at
        When its last byte had been read, on the monotonic clock, in seconds.
    is_kept
        Whether its connection has carried a request before.
    """

    start: RequestStartLine
    headers: HTTPHeaders
    body: bytes
    arrived_at: float
    exceeds_memory: bool = False
    read_at: float = 0
    is_kept: bool = False

    @property
    def host(self) -> str:
        """Return the host of the `Host` header, without the port."""
        host, _, _ = self.headers.get('Host', '').partition(':')
        return host

    @property
    def path(self) -> str:
        """Return the path without the query."""
        path, _, _ = self.start.path.partition('?')
        return path
