"""Tests of the summary of one request from several logs."""

from ..request_log import lines_of_request, summarize

LOGS = (
    '  9.81 front-1 {"time":"12:00:03","process":"entry-1","event":'
    '"request_ended","request_id":"q1","how":"failed","total_ms":612.0,'
    '"first_ms":-1}\n',
    'not a log line\n',
    '{"time":"12:00:01","process":"entry-1","event":"request_placed",'
    '"request_id":"q1","endpoint":"e7"}\n',
    '{"time":"12:00:02","process":"entry-1","event":"request_placed",'
    '"request_id":"q2","reason":"q1"}\n',
    '{"time":"12:00:02","process":"entry-1","event":"attempt_failed",'
    '"request_id":"q1","at_fault":"e7","how":"broken","detail":"reset"}\n',
    '{"request_id":"q1", truncated\n',
)


def test_lines_of_one_request_are_in_order() -> None:
    events = [line.event for line in lines_of_request('q1', LOGS)]
    assert events == ['request_placed', 'attempt_failed', 'request_ended']


def test_summary_names_failure_and_end() -> None:
    """Guards against a summary that omits why a request failed."""
    summary = summarize(lines_of_request('q1', LOGS))
    assert summary == (
        'attempt at e7: broken (reset); '
        'ended as failed after 612.0 ms, no event was received'
    )


def test_summary_names_the_configuration_that_decided() -> None:
    """Guards against a request whose service no log line explains."""
    ended = (
        '{"event": "request_ended", "request_id": "q7", "how": "answered",'
        ' "total_ms": 40, "first_ms": 8, "settings_version": 9,'
        ' "settings_age": 1.5}'
    )
    summary = summarize(lines_of_request('q7', [ended]))
    assert 'decided by settings 9, last confirmed 1.5 s' in summary


def test_missing_end_is_reported() -> None:
    """Guards against a summary that hides that the entry was killed."""
    assert 'not in these logs' in summarize(lines_of_request('q1', LOGS[1:]))


def test_refusal_is_summarized_with_its_reasons() -> None:
    """Guards against a refusal without its reasons and its retry time.

    The end of a request contains only the duration, not the state on which
    the refusal was based.
    """
    refused = (
        '{"time": "1", "event": "forwarding_refused", "request_id": "q7",'
        ' "cause": "harmful", "detail": "harm 90.0, weight 60.5",'
        ' "retry_after": 4.2, "settings_version": 9, "settings_age": 0.4,'
        ' "endpoints": 16, "entries": 5}'
    )
    summary = summarize(lines_of_request('q7', [refused]))
    assert summary == (
        'refused as harmful (harm 90.0, weight 60.5), retry after 4.2'
        ' s; decided with settings 9, confirmed 0.4 s earlier, 16 endpoints'
        ' and 5 entries known; the end of the request is not in these logs'
    )


def test_refusal_by_forecast_is_summarized_with_its_figures() -> None:
    """Guards against a refusal of a full fleet that cannot be explained."""
    refused = (
        '{"time": "1", "event": "forwarding_refused", "request_id": "q7",'
        ' "cause": "too_late", "rank": [0, 2], "expected_ms": 9420.0,'
        ' "waiting_before": 310, "free_slots": 0}'
    )
    summary = summarize(lines_of_request('q7', [refused]))
    assert 'expected after 9420.0 ms behind 310 requests, 0 slots' in summary
