"""Collects the log lines of one request from several processes."""

import pathlib
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from ..errors import SettingsError

#: Fields that are shown at the start of a line or do not describe a request.
_OMITTED_FIELDS = frozenset(
    ('time', 'level', 'logger', 'event', 'process', 'request_id')
)
_REQUEST_ID = 'request_id'
_STDIN = '-'
_UNKNOWN = '?'
_END_EVENT = 'request_ended'
_FORECAST_FIELD = 'expected_ms'
_VERSION_FIELD = 'settings_version'


class LogLine(msgspec.Struct, frozen=True, order=True):
    """One log line of a request."""

    time: str
    event: str
    process: str
    fields: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        """Return the line as it is printed."""
        shown = ' '.join(f'{name}={text}' for name, text in self.fields)
        return f'{self.time} {self.process} {self.event} {shown}'


def lines_of_request(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines of a request, ordered by time.

    Parameters
    ----------
    texts
        Log lines in any order. Log collectors may add a prefix before the
        JSON object. Lines without a JSON object are skipped.
    """
    return sorted(_matching_lines(request_id, texts))


def summarize(lines: Iterable[LogLine]) -> str:
    """Return one sentence about the failures and the end of a request.

    Examples
    --------
    >>> summarize([])
    'no log line names this request'
    """
    known = list(lines)
    if not known:
        return 'no log line names this request'
    parts = [
        _DESCRIPTIONS[line.event](dict(line.fields))
        for line in known
        if line.event in _DESCRIPTIONS
    ]
    if not any(line.event == _END_EVENT for line in known):
        parts.append('the end of the request is not in these logs')
    return '; '.join(parts)


def read_files(names: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files; ``-`` is standard input."""
    for name in names:
        if name == _STDIN:
            yield from sys.stdin
            continue
        path = pathlib.Path(name)
        try:
            with path.open(encoding='utf-8', errors='replace') as stream:
                yield from stream
        except OSError as error:
            raise SettingsError(f'{name}: {error.strerror}') from error


def _matching_lines(request_id: str, texts: Iterable[str]) -> Iterator[LogLine]:
    # Most lines belong to other requests; the check avoids decoding them.
    for text in texts:
        fields = _parse_line(text) if request_id in text else {}
        if fields.get(_REQUEST_ID) == request_id:
            yield _log_line(fields)


def _parse_line(text: str) -> dict[str, Any]:
    _, brace, rest = text.partition('{')
    try:
        return msgspec.json.decode(f'{brace}{rest}', type=dict[str, Any])
    except msgspec.DecodeError:
        # Logs also contain lines of other programs and truncated lines.
        return {}


def _log_line(fields: dict[str, Any]) -> LogLine:
    shown = tuple(
        (name, str(found))
        for name, found in fields.items()
        if name not in _OMITTED_FIELDS
    )
    return LogLine(
        time=str(fields.get('time', '')),
        event=str(fields.get('event', '')),
        process=str(fields.get('process', '')),
        fields=shown,
    )


def _describe_failure(fields: dict[str, str]) -> str:
    endpoint = fields.get('at_fault', _UNKNOWN)
    how = fields.get('how', _UNKNOWN)
    detail = fields.get('detail', '')
    return f'attempt at {endpoint}: {how} ({detail})'


def _describe_end(fields: dict[str, str]) -> str:
    how = fields.get('how', _UNKNOWN)
    total = fields.get('total_ms', _UNKNOWN)
    first = fields.get('first_ms', _UNKNOWN)
    event = f'first event after {first} ms'
    if first.startswith('-'):
        event = 'no event was received'
    return (
        f'ended as {how} after {total} ms, {event}{_describe_version(fields)}'
    )


def _describe_version(fields: dict[str, str]) -> str:
    """Return which settings decided a request; empty if the line is old."""
    if _VERSION_FIELD not in fields:
        return ''
    age = fields.get('settings_age', _UNKNOWN)
    return (
        f', decided by settings {fields[_VERSION_FIELD]},'
        f' last confirmed {age} s before the end'
    )


def _describe_refusal(fields: dict[str, str]) -> str:
    cause = fields.get('cause', _UNKNOWN)
    detail = fields.get('detail', '')
    retry_after = fields.get('retry_after', _UNKNOWN)
    version = fields.get(_VERSION_FIELD, _UNKNOWN)
    age = fields.get('settings_age', _UNKNOWN)
    endpoints = fields.get('endpoints', _UNKNOWN)
    entries = fields.get('entries', _UNKNOWN)
    return (
        f'refused as {cause} ({detail}), retry after {retry_after} s;'
        f'{_describe_forecast(fields)}'
        f' decided with settings {version}, confirmed {age} s earlier,'
        f' {endpoints} endpoints and {entries} entries known'
    )


def _describe_forecast(fields: dict[str, str]) -> str:
    """Return the forecast of a refusal; empty if it was based on none."""
    if _FORECAST_FIELD not in fields:
        return ''
    expected = fields[_FORECAST_FIELD]
    waiting = fields.get('waiting_before', _UNKNOWN)
    free = fields.get('free_slots', _UNKNOWN)
    return (
        f' expected after {expected} ms behind {waiting} requests,'
        f' {free} slots free;'
    )


#: Functions that describe the events that explain the result of a request.
_DESCRIPTIONS: Mapping[str, Callable[[dict[str, str]], str]] = MappingProxyType(
    {
        'attempt_failed': _describe_failure,
        'forwarding_refused': _describe_refusal,
        _END_EVENT: _describe_end,
    },
)
