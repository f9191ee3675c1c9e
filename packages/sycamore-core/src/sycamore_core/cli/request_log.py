"""Gathers what several processes logged of one request."""

import pathlib
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import msgspec

from ..errors import SettingsError

#: Fields that stand in front of a line, or say nothing of a request.
_COMMON = frozenset(
    ('time', 'level', 'logger', 'event', 'process', 'request_id')
)
_REQUEST_ID = 'request_id'
_STDIN = '-'
_UNKNOWN = '?'
_END = 'request_ended'


class LogLine(msgspec.Struct, frozen=True, order=True):
    """One line of a log that names the request."""

    time: str
    event: str
    process: str
    fields: tuple[tuple[str, str], ...]

    def __str__(self) -> str:
        """Return the line as it is shown."""
        shown = ' '.join(f'{name}={text}' for name, text in self.fields)
        return f'{self.time} {self.process} {self.event} {shown}'


def lines_of(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Return the lines that name a request, in the order of their times.

    Parameters
    ----------
    texts
        Lines of logs, in any order. Something may stand before the JSON
        object of a line, as collectors of logs put it there; lines without
        one are left out.
    """
    return sorted(_read_all(request_id, texts))


def cause_of(lines: Iterable[LogLine]) -> str:
    """Return in a sentence what became of a request.

    Examples
    --------
    >>> cause_of([])
    'no line names this request'
    """
    known = list(lines)
    if not known:
        return 'no line names this request'
    parts = [
        _TEXTS[line.event](dict(line.fields))
        for line in known
        if line.event in _TEXTS
    ]
    if not any(line.event == _END for line in known):
        parts.append('its end is not in these logs')
    return '; '.join(parts)


def read_files(names: Iterable[str]) -> Iterator[str]:
    """Yield the lines of some files; ``-`` stands for standard input."""
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


def _read_all(request_id: str, texts: Iterable[str]) -> Iterator[LogLine]:
    # Most lines are about other requests, and need not be decoded.
    for text in texts:
        fields = _read(text) if request_id in text else {}
        if fields.get(_REQUEST_ID) == request_id:
            yield _line(fields)


def _read(text: str) -> dict[str, Any]:
    _, brace, rest = text.partition('{')
    try:
        return msgspec.json.decode(f'{brace}{rest}', type=dict[str, Any])
    except msgspec.DecodeError:
        # Logs also hold lines of other programs, and torn ones.
        return {}


def _line(fields: dict[str, Any]) -> LogLine:
    shown = tuple(
        (name, str(found))
        for name, found in fields.items()
        if name not in _COMMON
    )
    return LogLine(
        time=str(fields.get('time', '')),
        event=str(fields.get('event', '')),
        process=str(fields.get('process', '')),
        fields=shown,
    )


def _failure_text(fields: dict[str, str]) -> str:
    endpoint = fields.get('at_fault', _UNKNOWN)
    how = fields.get('how', _UNKNOWN)
    detail = fields.get('detail', '')
    return f'attempt at {endpoint}: {how} ({detail})'


def _end_text(fields: dict[str, str]) -> str:
    how = fields.get('how', _UNKNOWN)
    total = fields.get('total_ms', _UNKNOWN)
    first = fields.get('first_ms', _UNKNOWN)
    event = f'first event after {first} ms'
    if first.startswith('-'):
        event = 'no event came'
    return f'ended as {how} after {total} ms, {event}'


def _refusal_text(fields: dict[str, str]) -> str:
    cause = fields.get('cause', _UNKNOWN)
    detail = fields.get('detail', '')
    back = fields.get('retry_after', _UNKNOWN)
    version = fields.get('settings_version', _UNKNOWN)
    age = fields.get('settings_age', _UNKNOWN)
    endpoints = fields.get('endpoints', _UNKNOWN)
    entries = fields.get('entries', _UNKNOWN)
    return (
        f'refused as {cause} ({detail}), to come back after {back} s;'
        f' decided on settings {version} confirmed {age} s before,'
        f' {endpoints} endpoints and {entries} entries known'
    )


#: How each event that decided something is told.
_TEXTS: Mapping[str, Callable[[dict[str, str]], str]] = MappingProxyType(
    {
        'attempt_failed': _failure_text,
        'forwarding_refused': _refusal_text,
        _END: _end_text,
    },
)
