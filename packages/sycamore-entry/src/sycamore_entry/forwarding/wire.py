"""What headers mean, whatever their names are.

The adapter to a platform implements `WireFormat`; nothing else knows how the
platform spells what callers and endpoints say.
"""

import abc

import msgspec
from sycamore_core.ids import EndpointId, WorkspaceId
from tornado.httputil import HTTPHeaders

_HUNDRED = 100
_SUCCESS = 2


class CallTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller says of its request.

    Attributes
    ----------
    request_id
        Id of this try of the caller; a repeat by the caller has another.
    patience
        Time for which the caller waits, in seconds; None if it did not say.
    api_key
        Key of a workspace; empty if there was none.
    prompt_tokens
        Length of the prompt; 0 if it did not say.
    answer_tokens
        Most tokens of the answer; 0 if it did not say.
    """

    request_id: str = ''
    patience: float | None = None
    api_key: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0


class Helper(msgspec.Struct, frozen=True):
    """An engine that helps to read a prompt.

    Attributes
    ----------
    reservation
        Id under which it stores its part; empty if it stores nothing.
    """

    address: str
    reservation: str = ''


class OutgoingTerms(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry tells an endpoint with a request.

    Attributes
    ----------
    endpoint
        Only this endpoint may run the request.
    seconds_left
        After this time the endpoint stops.
    workspace
        Whose request it is; None on public routes.
    priority
        Rank in the endpoint's queue; 0 is the first.
    after_event
        Last event that the caller has of a stream that is resumed.
    """

    endpoint: EndpointId
    seconds_left: float
    workspace: WorkspaceId | None = None
    priority: int = 5
    helpers: tuple[Helper, ...] = ()
    after_event: str = ''


class NamedLimit(msgspec.Struct, frozen=True):
    """What an endpoint says of the rate that it takes from all entries.

    Attributes
    ----------
    per_second
        Requests a second; None if it names no limit.
    is_unreadable
        Whether it names one that is no rate: what was known of it stays.
    """

    per_second: float | None = None
    is_unreadable: bool = False


NO_LIMIT = NamedLimit()


class AskedRest(msgspec.Struct, frozen=True):
    """For how long an endpoint that turns a request away wants no other.

    Attributes
    ----------
    seconds
        How long this entry is to send nothing; None if it does not ask.
    is_unreadable
        Whether it asks for something that is no time.
    """

    seconds: float | None = None
    is_unreadable: bool = False


NO_REST = AskedRest()


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an endpoint's answer.

    Attributes
    ----------
    headers
        What is handed on to the caller.
    request_id
        Request that it answers; empty if it does not say.
    has_not_run
        Whether the endpoint says that it did not run the request.
    is_signed
        Whether it is signed as the endpoint's own.
    is_other_instance
        Whether another endpoint than the named one has this address.
    faulty_address
        Endpoint at fault where it is another one; else empty.
    idle_seconds
        How long the endpoint keeps the connection; None if it does not say.
    closes
        Whether the endpoint closes the connection after this answer.
    limit
        The rate of requests that it takes.
    is_leaving
        Whether it says that it takes no new requests before it ends.
    rest
        The rest that it asks for with a refusal.
    unknown_names
        Headers whose meaning is not known here.
    """

    status: int
    headers: HTTPHeaders
    request_id: str = ''
    has_not_run: bool = False
    is_signed: bool = False
    is_other_instance: bool = False
    faulty_address: str = ''
    idle_seconds: float | None = None
    closes: bool = False
    limit: NamedLimit = NO_LIMIT
    is_leaving: bool = False
    rest: AskedRest = NO_REST
    unknown_names: tuple[str, ...] = ()

    @property
    def is_success(self) -> bool:
        """Whether the request was answered with success."""
        return self.status // _HUNDRED == _SUCCESS


class Order(msgspec.Struct, frozen=True):
    """An order to an engine, as an HTTP request."""

    path: str
    body: bytes


class WireFormat(abc.ABC):
    """Reads and writes what callers and endpoints say in headers."""

    @abc.abstractmethod
    def request_id(self, headers: HTTPHeaders) -> str:
        """Return the id of a caller's request; empty if it has none."""

    @abc.abstractmethod
    def read_terms(self, headers: HTTPHeaders) -> CallTerms:
        """Return what a caller says.

        Raises
        ------
        WireError
            If a value that is needed cannot be read.
        """

    @abc.abstractmethod
    def request_headers(
        self,
        received: HTTPHeaders,
        terms: OutgoingTerms,
    ) -> HTTPHeaders:
        """Return the headers of a request to an endpoint.

        Those that concern the caller's connection alone, the caller's key,
        and those that only the system may set, are left out.
        """

    @abc.abstractmethod
    def read_head(self, status: int, headers: HTTPHeaders) -> AnswerHead:
        """Return what an endpoint's answer says of itself."""

    @abc.abstractmethod
    def own_headers(self, request_id: str) -> HTTPHeaders:
        """Return the headers of an answer of the entry itself."""

    @abc.abstractmethod
    def reserve(self, reservation: str, tokens: int, hold: float) -> Order:
        """Return the order to set memory aside for `hold` seconds."""

    @abc.abstractmethod
    def release(self, reservation: str) -> Order:
        """Return the order to give the memory back."""
