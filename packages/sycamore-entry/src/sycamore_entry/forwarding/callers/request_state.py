"""What may still become of a request whose answer has not begun."""

import abc


class EarlyAnswer(abc.ABC):
    """Answers a request before its exchange is told to end."""

    @property
    @abc.abstractmethod
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request, or may run it yet."""

    @abc.abstractmethod
    def send_early(self) -> None:
        """Write the answer of a process that stops."""


class RequestState:
    """State of a request between its caller and its endpoint.

    Attributes
    ----------
    is_at_endpoint
        Whether an endpoint has the request.
    may_be_stopped
        Whether the request may be stopped there: it is idempotent or a stream.
    may_repeat
        Whether the request may run again. It may not until that is known.
    is_head
        Whether only the head of the answer is requested.
    early
        Answers the request if the process stops; None before its exchange.
    """

    def __init__(self) -> None:
        self.is_at_endpoint = False
        self.may_be_stopped = True
        self.may_repeat = False
        self.is_head = False
        self.early: EarlyAnswer | None = None
