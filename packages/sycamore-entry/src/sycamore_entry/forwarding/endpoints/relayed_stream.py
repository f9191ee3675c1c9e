"""A stream of events that one endpoint sends."""

from ..wire import AnswerHead
from .channel import EndpointChannel
from .events import EventSplitter


class RelayedStream:
    """A stream on its connection, and how much of it was forwarded.

    Attributes
    ----------
    splitter
        Holds the bytes of an event whose end has not arrived.
    has_forwarded
        Whether the caller has received an event of this stream.
    """

    def __init__(self, head: AnswerHead, channel: EndpointChannel) -> None:
        self.head = head
        self.channel = channel
        self.splitter = EventSplitter()
        self.has_forwarded = False

    @property
    def may_go_on(self) -> bool:
        """Whether the stream was only interrupted, and was begun.

        Without an event, it has nothing that another attempt would lack.
        """
        return self.has_forwarded and self.channel.is_interrupted
