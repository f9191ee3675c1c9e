"""The exchanges in progress, by request id."""

from sycamore_core.ids import EndpointId, RequestId

from .events import EndpointLost, ExchangeEvent, Superseded
from .mailbox import Mailbox


class ExchangeRegistry:
    """Hands events on to the exchange that they are about.

    Attributes
    ----------
    stray
        Events about requests that are not, or no longer, in progress here.
    """

    def __init__(self) -> None:
        self.mailboxes: dict[RequestId, Mailbox] = {}
        self.stray = 0

    def __len__(self) -> int:
        """Return the number of exchanges in progress."""
        return len(self.mailboxes)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether the request has an exchange in progress here."""
        return request_id in self.mailboxes

    def is_current(self, request_id: RequestId, mailbox: Mailbox) -> bool:
        """Return whether no other exchange has superseded this one."""
        return self.mailboxes.get(request_id) is mailbox

    def uses(self, endpoint: EndpointId) -> bool:
        """Return whether an exchange talks to an endpoint."""
        return any(
            mailbox.endpoint == endpoint for mailbox in self.mailboxes.values()
        )

    def open(self, request_id: RequestId) -> Mailbox:
        """Return a new mailbox, which supersedes an earlier one."""
        self.deliver(request_id, Superseded())
        mailbox = Mailbox()
        self.mailboxes[request_id] = mailbox
        return mailbox

    def close(self, request_id: RequestId, mailbox: Mailbox) -> bool:
        """Drop the mailbox of a request that is over.

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
        """Hand an event to the exchange of a request."""
        mailbox = self.mailboxes.get(request_id)
        if mailbox is None:
            self.stray += 1
            return
        if mailbox.is_full:
            # A frame that is dropped here is a gap, which the exchange asks
            # for again; the other messages are sent again by their senders.
            self.stray += 1
            return
        mailbox.put(event)

    def endpoint_lost(self, lost: EndpointLost) -> None:
        """Tell all exchanges that talk to an endpoint that it is lost."""
        for request_id, mailbox in tuple(self.mailboxes.items()):
            if mailbox.endpoint == lost.endpoint:
                self.deliver(request_id, lost)
