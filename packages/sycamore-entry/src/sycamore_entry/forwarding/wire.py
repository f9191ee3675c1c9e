"""The meaning of request and answer headers, independent of their names.

The adapter to a platform implements `WireFormat`. No other module knows the
names and formats of the platform's headers.
"""

import abc

import msgspec
from sycamore_core.ids import EndpointId, WorkspaceId
from tornado.httputil import HTTPHeaders

_STATUS_CLASS_SIZE = 100
_SUCCESS_CLASS = 2


class CallTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Request parameters that a caller sends in headers.

    Attributes
    ----------
    request_id
        Id of the request; a retry by the caller has another id.
    patience
        Timeout of the caller, in seconds; None if the caller sent none.
    api_key
        API key of a workspace; empty if the caller sent none.
    prompt_tokens
        Length of the prompt, in tokens; 0 if the caller sent none.
    answer_tokens
        Longest answer, in tokens; 0 if the caller sent none.
    shared_parts
        Ids of the parts of the prompt that other requests may contain as well.
    """

    request_id: str = ''
    patience: float | None = None
    api_key: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    shared_parts: tuple[str, ...] = ()


class Helper(msgspec.Struct, frozen=True):
    """An engine that reads a part of a prompt for another engine.

    Attributes
    ----------
    address
        Address of the engine, as ``HOST:PORT``.
    reservation
        Id of the reserved memory for its part; empty if it reserves none.
    """

    address: str
    reservation: str = ''


class OutgoingTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Request parameters that an entry sends to an endpoint.

    Attributes
    ----------
    endpoint
        The only endpoint that may run the request.
    seconds_left
        Time after which the endpoint stops the request, in seconds.
    workspace
        Workspace that the request belongs to; None on public routes.
    priority
        Rank in the endpoint's queue; 0 is the first.
    helpers
        Engines that read parts of the prompt.
    after_event
        Id of the last event that the caller received, if the request resumes
        a stream; otherwise empty.
    """

    endpoint: EndpointId
    seconds_left: float
    workspace: WorkspaceId | None = None
    priority: int = 5
    helpers: tuple[Helper, ...] = ()
    after_event: str = ''


class AnnouncedLimit(msgspec.Struct, frozen=True):
    """Rate limit that an endpoint sets for all entries together.

    Attributes
    ----------
    per_second
        Requests per second; None if the endpoint sets no limit.
    is_unreadable
        Whether the header is no valid rate; the previous limit then stays.
    """

    per_second: float | None = None
    is_unreadable: bool = False


NO_LIMIT = AnnouncedLimit()


class RequestedBackoff(msgspec.Struct, frozen=True):
    """Backoff that an endpoint requests when it refuses a request.

    Attributes
    ----------
    seconds
        Time during which this entry sends no requests, in seconds; None if
        the endpoint requests no backoff.
    is_unreadable
        Whether the header is no valid time.
    """

    seconds: float | None = None
    is_unreadable: bool = False


NO_BACKOFF = RequestedBackoff()


class ColdNotice(msgspec.Struct, frozen=True):
    """Cold time that an endpoint states.

    Attributes
    ----------
    seconds
        Remaining cold time, in seconds; None if the endpoint states none.
    is_unreadable
        Whether the header is no valid time; the known time then stays.
    """

    seconds: float | None = None
    is_unreadable: bool = False


NO_COLD_NOTICE = ColdNotice()


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an endpoint's answer.

    Attributes
    ----------
    status
        HTTP status code.
    headers
        Headers that are forwarded to the caller.
    request_id
        Id of the answered request; empty if the answer has none.
    has_not_run
        Whether the endpoint states that it did not run the request.
    is_signed
        Whether the answer carries the signature of the endpoint.
    is_other_instance
        Whether another endpoint than the addressed one has this address.
    instance
        Instance that answered; empty if the answer does not name it.
    faulty_address
        Address of the endpoint at fault, if it is another one; otherwise
        empty.
    idle_seconds
        Idle timeout of the connection, in seconds; None if the endpoint sent
        none.
    closes
        Whether the endpoint closes the connection after this answer.
    limit
        Rate limit of the endpoint.
    is_leaving
        Whether the endpoint accepts no new requests because it shuts down.
    rest
        Backoff that the endpoint requests with a refusal.
    unknown_names
        Names of headers that the adapter does not know.
    cold
        Remaining cold time of the endpoint.
    """

    status: int
    headers: HTTPHeaders
    request_id: str = ''
    has_not_run: bool = False
    is_signed: bool = False
    is_other_instance: bool = False
    instance: EndpointId = EndpointId('')
    faulty_address: str = ''
    idle_seconds: float | None = None
    closes: bool = False
    limit: AnnouncedLimit = NO_LIMIT
    is_leaving: bool = False
    rest: RequestedBackoff = NO_BACKOFF
    unknown_names: tuple[str, ...] = ()
    cold: ColdNotice = NO_COLD_NOTICE

    @property
    def is_success(self) -> bool:
        """Whether the request was answered with success."""
        return self.status // _STATUS_CLASS_SIZE == _SUCCESS_CLASS


class Order(msgspec.Struct, frozen=True):
    """A control request to an engine, as path and body of an HTTP request."""

    path: str
    body: bytes


class WireFormat(abc.ABC):
    """Decodes and encodes the headers of callers and endpoints."""

    @abc.abstractmethod
    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id of a caller's request; empty if it has none."""

    @abc.abstractmethod
    def read_terms(self, headers: HTTPHeaders) -> CallTerms:
        """Return the request parameters that a caller sent.

        Raises
        ------
        WireError
            If a required value cannot be parsed.
        """

    @abc.abstractmethod
    def request_headers(
        self,
        received: HTTPHeaders,
        terms: OutgoingTerms,
    ) -> HTTPHeaders:
        """Return the headers of a request to an endpoint.

        Hop-by-hop headers, the caller's key, and headers that only the system
        may set are left out.
        """

    @abc.abstractmethod
    def read_head(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        """Return the decoded status and headers of an endpoint's answer."""

    @abc.abstractmethod
    def own_headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of an answer that the entry creates itself."""

    @abc.abstractmethod
    def reserve(self, reservation: str, tokens: int, hold: float) -> Order:
        """Return the order to reserve memory for `hold` seconds."""

    @abc.abstractmethod
    def release(self, reservation: str) -> Order:
        """Return the order to release reserved memory."""
