"""Digests that identify repeated requests."""

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.ids import WorkspaceId
from tornado.httputil import HTTPHeaders, RequestStartLine

from ..callers.caller_request import CallerRequest
from ..content import RequestContent


def content(
    body: bytes = b'text',
    path: str = '/a/x?q=1',
    workspace: str = 'school',
    request_id: str = 'q1',
) -> RequestContent:
    request = CallerRequest(
        RequestStartLine('POST', path, 'HTTP/1.1'),
        HTTPHeaders({'Id': request_id}),
        body,
        arrived_at=0,
    )
    return RequestContent(request, WorkspaceId(workspace))


def test_request_id_does_not_change_digest() -> None:
    assert content().digest == content(request_id='q2').digest


def test_path_workspace_and_body_change_digest() -> None:
    others = (
        content(path='/a/x?q=2'),
        content(workspace='farm'),
        content(body=b'next'),
    )
    assert content().digest not in {other.digest for other in others}


def test_parts_are_the_same_in_unlike_requests() -> None:
    one = with_parts(b'text', 'a1', 'b2')
    other = with_parts(b'next', 'c3', 'b2')
    assert one.digest != other.digest
    assert set(one.parts) & set(other.parts) == {one.parts[1]}


def with_parts(body: bytes, *parts: str) -> RequestContent:
    return RequestContent(content(body).request, None, parts)


def test_partial_digest_leaves_out_body() -> None:
    one = content(body=b'x' * 1000)
    other = content(body=b'y' * 1000)
    assert one.partial_digest == other.partial_digest
    assert one.digest != other.digest


def test_log_digest_is_set_only_for_broken_attempts() -> None:
    assert content().digest_for_log(AttemptEnd.BROKEN) == content().digest.hex()
    assert not content().digest_for_log(AttemptEnd.NOT_SENT)
