"""Tests of parsing the bodies and headers of requests."""

import uuid

import msgspec
import pytest
from sycamore_core.settings import ServiceSettings
from sycamore_core.states import EndpointKind, Execution, RefusalReason

from ...errors import RefusedError
from ..limits import read_terms
from ..problems import make_problem
from ..prompts import BLOCK_BYTES, hash_blocks, read_prompt

SERVICE = ServiceSettings(longest_time_limit_seconds=60)
KEY_V7 = '01890a5d-ac96-774b-bcce-b302099a8057'


@pytest.mark.parametrize(
    ('body', 'tokens'),
    [
        (b'{"tokens": [1]}', 1),
        (b'{"tokens": [1, 2,\n 3]}', 3),
        (b'{"prompt": "12345678"}', 3),
        (b'{"prompt": "", "extra": {"ignored": true}}', 1),
    ],
)
def test_prompt_size(body: bytes, tokens: int) -> None:
    assert read_prompt(body).tokens == tokens


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'{}',
        b'{"prompt": 4}',
        b'{"tokens": []}',
        b'{"tokens": "text"}',
        b'{"tokens": [1, "x"]}',
        b'{"tokens": [[1]]}',
        b'{"tokens": [1], "prompt": "both"}',
        b'{"prompt": "a", "max_output_tokens": -1}',
        b'{"prompt": "a", "max_output_tokens": "many"}',
        b'\xff\xfe',
    ],
)
def test_bad_body_is_refused(body: bytes) -> None:
    with pytest.raises(RefusedError) as caught:
        read_prompt(body)
    assert caught.value.reason == RefusalReason.BAD_REQUEST
    assert caught.value.execution == Execution.NOT_RUN


def test_prompts_with_a_common_prefix_share_block_hashes() -> None:
    beginning = b'x' * (2 * BLOCK_BYTES)
    one = hash_blocks(beginning + b'1' * BLOCK_BYTES)
    two = hash_blocks(beginning + b'2' * BLOCK_BYTES)
    assert one[:2] == two[:2]
    assert one[2] != two[2]


@pytest.mark.parametrize(
    ('headers', 'reason'),
    [
        ({}, RefusalReason.TIME_LIMIT_MISSING),
        ({'Time-Limit': 'soon'}, RefusalReason.BAD_REQUEST),
        ({'Time-Limit': '0'}, RefusalReason.BAD_REQUEST),
        ({'Time-Limit': '-1'}, RefusalReason.BAD_REQUEST),
        ({'Time-Limit': 'nan'}, RefusalReason.BAD_REQUEST),
        ({'Time-Limit': 'inf'}, RefusalReason.BAD_REQUEST),
        ({'Time-Limit': '61'}, RefusalReason.BAD_REQUEST),
        ({'Time-Limit': '1', 'Idempotent': 'no'}, RefusalReason.BAD_REQUEST),
        (
            {'Time-Limit': '1', 'Idempotency-Key': str(uuid.UUID(int=0))},
            RefusalReason.BAD_REQUEST,
        ),
        (
            {'Time-Limit': '1', 'Idempotency-Key': 'mine'},
            RefusalReason.BAD_REQUEST,
        ),
    ],
)
def test_bad_headers_are_refused(
    headers: dict[str, str],
    reason: RefusalReason,
) -> None:
    with pytest.raises(RefusedError) as caught:
        read_terms(headers, SERVICE)
    assert caught.value.reason == reason


def test_terms_are_read() -> None:
    headers = {
        'Time-Limit': '2',
        'Idempotent': 'false',
        'Idempotency-Key': KEY_V7.upper(),
    }
    terms = read_terms(headers, SERVICE)
    assert terms.time_limit == 2
    assert not terms.idempotent
    assert terms.idempotency_key == KEY_V7


@pytest.mark.parametrize(
    ('kind', 'method', 'headers', 'idempotent'),
    [
        (EndpointKind.PLAIN, 'GET', {}, True),
        (EndpointKind.PLAIN, 'POST', {}, False),
        (EndpointKind.PLAIN, 'POST', {'Idempotent': 'true'}, True),
        (EndpointKind.PLAIN, 'GET', {'Idempotent': 'false'}, False),
        (EndpointKind.MODEL, 'POST', {}, True),
    ],
)
def test_only_safe_methods_are_idempotent_by_default(
    kind: EndpointKind,
    method: str,
    headers: dict[str, str],
    idempotent: bool,
) -> None:
    """A deposit is posted without the header that forbids a repetition.

    A retry would charge the customer twice.
    """
    service = ServiceSettings(kind=kind)
    terms = read_terms({'Time-Limit': '1', **headers}, service, method)
    assert terms.idempotent is idempotent


@pytest.mark.parametrize(
    ('execution', 'not_run'),
    [
        (Execution.NOT_RUN, True),
        (Execution.RAN, False),
        (Execution.UNKNOWN, 'unknown'),
    ],
)
def test_problem_reports_the_execution_state(
    execution: Execution,
    not_run: bool | str,
) -> None:
    refused = RefusedError(RefusalReason.OUTCOME_UNKNOWN, execution=execution)
    document = msgspec.json.decode(msgspec.json.encode(make_problem(refused)))
    assert document['not_run'] == not_run


@pytest.mark.parametrize('reason', list(RefusalReason))
def test_every_reason_has_an_error_status(reason: RefusalReason) -> None:
    assert 400 <= make_problem(RefusedError(reason)).status < 600
