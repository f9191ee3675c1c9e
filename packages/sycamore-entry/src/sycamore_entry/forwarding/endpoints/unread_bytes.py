"""Unread bytes of an endpoint that seems silent.

The event loop of the entry may have been late. What the endpoint has sent
meanwhile lies in the socket, or has been read and not been taken yet, when a
check for silence runs. Without this, such a check ends an attempt whose answer
has arrived.
"""

from .channel import EndpointChannel

#: Checks in a row after which unread bytes do not count any more. They are a
#: part of a line then, whose rest does not arrive.
_MAX_CHECKS = 3


class UnreadBytes:
    """Takes unread bytes of one answer for a sign that its endpoint goes on.

    Attributes
    ----------
    checks
        Number of checks in a row that have found unread bytes.
    """

    def __init__(self) -> None:
        self.checks = 0

    def check(self, channel: EndpointChannel) -> bool:
        """Return whether the endpoint has sent what was not taken yet.

        A complete answer counts as well.
        """
        if channel.is_complete:
            return True
        self.checks = self.checks + 1 if channel.has_unread_bytes else 0
        return 0 < self.checks <= _MAX_CHECKS
