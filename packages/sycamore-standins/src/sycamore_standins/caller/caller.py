"""The caller: HTTP towards the entries, by the curl client of tornado."""

from collections.abc import Sequence
from typing import Self

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from ..client import LOST, fetch
from .answers import Answer, PlainAnswer
from .asks import Ask, PlainAsk
from .stream import Stream, read_problem

_STREAM = 'text/event-stream'
_JSON = 'application/json'
_PROBLEM = 'application/problem+json'
_MAX_CLIENTS = 512
#: Longer than any time limit in the tests: the caller never gives up first.
_REQUEST_SECONDS = 150.0


class CallerIdentity(msgspec.Struct, frozen=True):
    """Whose requests they are, and where the entries are."""

    workspace: str
    api_key: str
    entries: Sequence[str]


class ModelBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a model request."""

    max_output_tokens: int
    prompt: str | None = None
    tokens: Sequence[int] | None = None


class PlainBody(msgspec.Struct, frozen=True):
    """Body of a call to the plain service."""

    business_id: str


class Caller:
    """One guest, instructor or member of a workspace."""

    def __init__(self, identity: CallerIdentity) -> None:
        self.identity = identity
        self.client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
        )

    def __enter__(self) -> Self:
        """Return the caller."""
        return self

    def __exit__(self, *error: object) -> None:
        """Close all connections."""
        self.client.close()

    async def ask(self, ask: Ask, answer: Answer | None = None) -> Answer:
        """Send a model request and read its stream to the end.

        Parameters
        ----------
        answer
            Filled as it comes, for a test that looks at it meanwhile.
        """
        url = self._service_url(ask, 'requests')
        request = self.request(ask, url)
        return await self.stream(request, answer or Answer())

    async def ask_document(self, ask: Ask) -> Answer:
        """Send a model request and take the answer in one piece."""
        url = self._service_url(ask, 'requests')
        request = self.request(ask, url)
        request.headers['Accept'] = _JSON
        return await self.stream(request, Answer())

    async def run_reserved(self, ask: Ask, request_id: str) -> Answer:
        """Run a model request under a reserved id; read its stream."""
        request = self.request(ask, self._request_url(request_id, ask.entry))
        request.method = 'PUT'
        return await self.stream(request, Answer(request_id=request_id))

    async def resume(self, answer: Answer, entry: int) -> Answer:
        """Come back for the rest of an answer through an entry."""
        url = self._request_url(answer.request_id, entry)
        request = HTTPRequest(
            f'{url}?after={answer.last}',
            headers=self._headers(accept=_STREAM),
            request_timeout=_REQUEST_SECONDS,
        )
        rest = Answer(answer.request_id, answer.pieces, answer.tokens)
        return await self.stream(request, rest)

    async def reserve(self, service: str, entry: int = 0) -> PlainAnswer:
        """Ask for an id that is bound to one endpoint process."""
        ask = Ask(service=service, entry=entry)
        response = await self.fetch(
            HTTPRequest(
                self._service_url(ask, 'reservations'),
                method='POST',
                headers=self._headers(),
                body=b'',
            ),
        )
        return plain_answer(response)

    async def call(self, ask: PlainAsk, request_id: str = '') -> PlainAnswer:
        """Call a plain service, under a reserved id if one is given."""
        url = self._service_url(ask, f'call/{ask.path}')
        headers = self._headers()
        _add_options(headers, ask)
        if request_id:
            url = self._request_url(request_id, ask.entry)
            headers['Call-Method'] = ask.method
            headers['Call-Path'] = ask.path
        body = msgspec.json.encode(PlainBody(ask.business_id))
        response = await self.fetch(
            HTTPRequest(
                url,
                method='PUT' if request_id else ask.method,
                headers=headers,
                body=body,
                request_timeout=_REQUEST_SECONDS,
            ),
        )
        return plain_answer(response)

    async def give_up(self, request_id: str, entry: int = 0) -> PlainAnswer:
        """Tell the system that the answer is no longer wanted."""
        response = await self.fetch(
            HTTPRequest(
                self._request_url(request_id, entry),
                method='DELETE',
                headers=self._headers(),
            ),
        )
        return plain_answer(response)

    def request(self, ask: Ask, url: str) -> HTTPRequest:
        """Return the HTTP request of a model request."""
        headers = self._headers(accept=_STREAM)
        _add_options(headers, ask)
        return HTTPRequest(
            url,
            method='POST',
            headers=headers,
            body=msgspec.json.encode(_model_body(ask)),
            request_timeout=_REQUEST_SECONDS,
        )

    async def stream(self, request: HTTPRequest, answer: Answer) -> Answer:
        """Send a request and read the events of its answer."""
        reading = Stream(answer)
        request.header_callback = reading.on_header
        request.streaming_callback = reading.on_chunk
        response = await self.fetch(request)
        if response.error is not None:
            answer.transfer_error = str(response.error)
        return reading.finish()

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Send a request; a lost connection is an answer of status 599."""
        return await fetch(request, self.client)

    def _headers(self, accept: str = _JSON) -> HTTPHeaders:
        key = self.identity.api_key
        return HTTPHeaders(
            {
                'Authorization': f'Bearer {key}',
                'Accept': accept,
                'Content-Type': _JSON,
                'Expect': '',
            },
        )

    def _service_url(self, ask: Ask | PlainAsk, rest: str) -> str:
        parts = (
            self.identity.entries[ask.entry],
            'v1/workspaces',
            self.identity.workspace,
            'services',
            ask.service,
            rest,
        )
        return '/'.join(parts)

    def _request_url(self, request_id: str, entry: int) -> str:
        base = self.identity.entries[entry]
        return f'{base}/v1/requests/{request_id}'


def plain_answer(response: HTTPResponse) -> PlainAnswer:
    """Return what a response says."""
    lost = response.code == LOST
    answer = PlainAnswer(
        status=0 if lost else response.code,
        request_id=response.headers.get('Request-Id', ''),
    )
    if _PROBLEM in response.headers.get('Content-Type', ''):
        answer.problem = read_problem(response.body)
    elif response.body and not lost:
        answer.business_id = _business_id(response.body)
    return answer


def _business_id(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=PlainBody).business_id
    except msgspec.DecodeError:
        return ''


def _model_body(ask: Ask) -> ModelBody:
    if ask.tokens:
        return ModelBody(ask.max_output_tokens, tokens=range_of(ask.tokens))
    return ModelBody(ask.max_output_tokens, prompt=ask.prompt)


def range_of(tokens: int) -> list[int]:
    """Return as many token ids."""
    return list(range(tokens))


def _add_options(headers: HTTPHeaders, ask: Ask | PlainAsk) -> None:
    headers['Time-Limit'] = str(ask.time_limit)
    headers['Idempotent'] = 'true' if ask.idempotent else 'false'
    if ask.idempotency_key:
        headers['Idempotency-Key'] = ask.idempotency_key
