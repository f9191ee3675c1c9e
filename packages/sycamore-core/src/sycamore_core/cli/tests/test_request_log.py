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
        'ended as failed after 612.0 ms, no event came'
    )


def test_end_is_missing() -> None:
    """The entry was killed before it could log the end."""
    assert 'not in these logs' in cause_of(lines_of('q1', LOGS[1:]))


def test_refusal_says_what_decided_it() -> None:
    """A member asks why a dossier was refused and when it would have been read.

    The end of a request alone says how long it took, not what was known when
    it was refused.
    """
    refused = (
        '{"time": "1", "event": "forwarding_refused", "request_id": "q7",'
        ' "cause": "harmful", "detail": "harm 90.0, weight 60.5",'
        ' "retry_after": 4.2, "settings_version": 9, "settings_age": 0.4,'
        ' "endpoints": 16, "entries": 5}'
    )
    told = cause_of(lines_of('q7', [refused]))
    assert told == (
        'refused as harmful (harm 90.0, weight 60.5), to come back after 4.2'
        ' s; decided on settings 9 confirmed 0.4 s before, 16 endpoints and 5'
        ' entries known; its end is not in these logs'
    )
