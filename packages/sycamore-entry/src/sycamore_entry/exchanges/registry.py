"""The exchanges in progress, by request id."""

from sycamore_core.ids import EndpointId, RequestId

from .events import EndpointLost, ExchangeEvent, Superseded
from .mailbox import Mailbox


class ExchangeRegistry:
    """Delivers events to the exchange of their request.

    Attributes
    ----------
    stray_events
        Number of events dropped: their request has no exchange in progress,
        or its mailbox is full.
    """

    def __init__(self) -> None:
        self.mailboxes: dict[RequestId, Mailbox] = {}
        self.stray_events = 0

    def __len__(self) -> int:
        """Return the number of exchanges in progress."""
        return len(self.mailboxes)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether the request has an exchange in progress."""
        return request_id in self.mailboxes

    def is_current(self, request_id: RequestId, mailbox: Mailbox) -> bool:
        """Return whether `mailbox` is the current one of the request."""
        return self.mailboxes.get(request_id) is mailbox

    def is_endpoint_in_use(self, endpoint: EndpointId) -> bool:
        """Return whether an exchange in progress uses an endpoint."""
        return any(
            mailbox.endpoint == endpoint for mailbox in self.mailboxes.values()
        )

    def open(self, request_id: RequestId) -> Mailbox:
        """Return a new mailbox that supersedes an earlier one."""
        self.deliver(request_id, Superseded())
        mailbox = Mailbox()
        self.mailboxes[request_id] = mailbox
        return mailbox

    def close(self, request_id: RequestId, mailbox: Mailbox) -> bool:
        """Remove the mailbox of a finished exchange.

        Returns
        -------
        bool
            False if another exchange has superseded this one.
        """
        if not self.is_current(request_id, mailbox):
            return False
        self.mailboxes.pop(request_id)
        return True

    def deliver(self, request_id: RequestId, event: ExchangeEvent) -> None:
        """Deliver an event to the exchange of a request."""
        mailbox = self.mailboxes.get(request_id)
        if mailbox is None:
            self.stray_events += 1
            return
        if mailbox.is_full:
            # A dropped frame leaves a gap, and the exchange requests the frame
            # again. The senders of other messages repeat them.
            self.stray_events += 1
            return
        mailbox.put(event)

    def notify_endpoint_lost(self, lost: EndpointLost) -> None:
        """Notify all exchanges that use an endpoint of its loss."""
        for request_id, mailbox in tuple(self.mailboxes.items()):
            if mailbox.endpoint == lost.endpoint:
                self.deliver(request_id, lost)
