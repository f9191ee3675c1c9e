"""Tests of HTTP responses to calls that are not acceptable."""

import asyncio
import socket
from collections.abc import Mapping
from types import MappingProxyType

import msgspec
import pytest
from sycamore_core.identity import IdKind, RequestClaims, RequestIdSigner
from sycamore_core.ids import Incarnation, PeerId, ServiceId, WorkspaceId
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer

from .. import WebContext
from .builders import API_KEY, KEYS, make_app, make_fleet, make_web_context

AUTHORIZATION = f'Bearer {API_KEY}'
CHAT = '/v1/workspaces/school/services/chat/requests'
CALL = '/v1/workspaces/school/services/booking/call/deposits'


async def fetch(context: WebContext, request: HTTPRequest) -> HTTPResponse:
    server = HTTPServer(make_app(context))
    listening = socket.socket()
    listening.bind(('127.0.0.1', 0))
    listening.listen()
    listening.setblocking(False)
    server.add_socket(listening)
    port = listening.getsockname()[1]
    request.url = f'http://127.0.0.1:{port}{request.url}'
    client = CurlAsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()
        server.stop()


def call(
    path: str,
    headers: Mapping[str, str],
    body: bytes | None = b'{"prompt": "hello"}',
    context: WebContext | None = None,
    method: str = 'POST',
) -> HTTPResponse:
    request = HTTPRequest(
        path,
        method=method,
        headers=dict(headers),
        body=body,
        allow_nonstandard_methods=True,
        request_timeout=20,
    )
    serving = context or make_web_context(make_fleet())
    return asyncio.run(fetch(serving, request))


def problem_of(response: HTTPResponse) -> Mapping[str, object]:
    assert response.headers['Content-Type'] == 'application/problem+json'
    assert b'Traceback' not in response.body
    return msgspec.json.decode(response.body)


GOOD = MappingProxyType(
    {'Authorization': AUTHORIZATION, 'Time-Limit': '5'},
)


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'status', 'reason'),
    [
        (CHAT, {}, b'{}', 401, 'unauthenticated'),
        (
            CHAT,
            {**GOOD, 'Authorization': 'Bearer wrong'},
            b'{}',
            401,
            'unauthenticated',
        ),
        (
            CHAT,
            {**GOOD, 'Authorization': API_KEY},
            b'{}',
            401,
            'unauthenticated',
        ),
        (
            CHAT.replace('school', 'rival'),
            GOOD,
            b'{}',
            401,
            'unauthenticated',
        ),
        (
            CHAT.replace('school', 'nobody'),
            GOOD,
            b'{}',
            404,
            'unknown_workspace',
        ),
        (CHAT.replace('chat', 'talk'), GOOD, b'{}', 404, 'unknown_service'),
        (
            CHAT,
            {'Authorization': AUTHORIZATION},
            b'{}',
            400,
            'time_limit_missing',
        ),
        (CHAT, GOOD, b'{', 400, 'bad_request'),
        (CHAT, GOOD, b'x' * 3000, 413, 'body_too_large'),
        (
            CHAT,
            GOOD,
            b'{"prompt": "%s"}' % (b'x' * 1000),
            413,
            'prompt_too_long',
        ),
        (
            CHAT.replace('chat', 'booking'),
            GOOD,
            b'{"prompt": "x"}',
            400,
            'bad_request',
        ),
        (CALL.replace('booking', 'chat'), GOOD, b'{}', 400, 'bad_request'),
        ('/v1/requests/k~forged', GOOD, b'{}', 403, 'forged_request_id'),
        ('/nowhere', GOOD, b'{}', 400, 'bad_request'),
    ],
)
def test_unacceptable_call_is_refused_and_not_run(
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    status: int,
    reason: str,
) -> None:
    method = 'PUT' if 'requests/k~' in path else 'POST'
    response = call(path, headers, body, method=method)
    problem = problem_of(response)
    assert (response.code, problem['reason']) == (status, reason)
    assert problem['not_run'] is True


def test_request_without_endpoints_ends_at_its_time_limit() -> None:
    response = call(CHAT, {**GOOD, 'Time-Limit': '0.3'})
    problem = problem_of(response)
    assert problem['reason'] == 'deadline_passed'
    assert problem['not_run'] is True
    assert response.headers['Retry-After'] == '1'


def test_entry_without_settings_refuses_requests() -> None:
    """An entry starts while the settings service of the platform is down."""
    context = make_web_context(None)
    response = call(CHAT, GOOD, context=context)
    assert problem_of(response)['reason'] == 'settings_not_ready'
    health = call('/healthz', {}, None, make_web_context(None), 'GET')
    assert health.code == 503


def test_draining_entry_refuses_new_requests() -> None:
    """The platform replaces an entry while callers still reach it."""
    context = make_web_context(make_fleet())
    context.draining.set()
    response = call(CHAT, GOOD, context=context)
    problem = problem_of(response)
    assert problem['reason'] == 'shutting_down'
    assert problem['not_run'] is True


def test_answer_of_another_workspace_is_refused() -> None:
    """A workspace requests an answer by the request id of another one."""
    claims = RequestClaims(
        kind=IdKind.ENTRY,
        workspace=WorkspaceId('rival'),
        service=ServiceId('chat'),
        minter=PeerId('entry'),
        incarnation=Incarnation(1),
        issued=0,
        nonce='n',
    )
    request_id = RequestIdSigner(KEYS).mint(claims)
    path = f'/v1/requests/{request_id}'
    response = call(path, GOOD, None, method='GET')
    assert response.code == 401


def test_internal_error_shows_no_trace() -> None:
    """An internal error must not expose a stack trace to callers.

    The response must not claim that the request was not run either, since
    the progress of the request is unknown.
    """
    context = make_web_context(make_fleet())
    context.new_request_id = None
    response = call(CHAT, GOOD, context=context)
    problem = problem_of(response)
    assert problem['detail'] == 'an internal error'
    assert problem['not_run'] == 'unknown'
