"""What several logs say of one request."""

from ..request_log import cause_of, lines_of

LOGS = (
    '  9.81 front-1 {"time":"12:00:03","process":"entry-1","event":'
    '"request_ended","request_id":"q1","how":"failed","total_ms":612.0,'
    '"first_ms":-1}\n',
    'not a line of a log\n',
    '{"time":"12:00:01","process":"entry-1","event":"request_placed",'
    '"request_id":"q1","endpoint":"e7"}\n',
    '{"time":"12:00:02","process":"entry-1","event":"request_placed",'
    '"request_id":"q2","reason":"q1"}\n',
    '{"time":"12:00:02","process":"entry-1","event":"attempt_failed",'
    '"request_id":"q1","at_fault":"e7","how":"broken","detail":"reset"}\n',
    '{"request_id":"q1", torn\n',
)


def test_lines_of_one_request_in_order() -> None:
    events = [line.event for line in lines_of('q1', LOGS)]
    assert events == ['request_placed', 'attempt_failed', 'request_ended']


def test_cause_is_said() -> None:
    """A guest complains; all that is known is the id of the request."""
    cause = cause_of(lines_of('q1', LOGS))
    assert cause == (
        'attempt at e7: broken (reset); '
        'ended as failed after 612.0 ms, first event after -1 ms'
    )


def test_end_is_missing() -> None:
    """The entry was killed before it could log the end."""
    assert 'not in these logs' in cause_of(lines_of('q1', LOGS[1:]))
