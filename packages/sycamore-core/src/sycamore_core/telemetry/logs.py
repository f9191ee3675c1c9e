"""Logs in JSON lines, with stable event names and without prompt text."""

from types import MappingProxyType
from typing import Any, TextIO

import logbook
import msgspec

from .line_writer import LineWriter

#: Fields that are removed from every log line, since they contain secrets or
#: private content of callers and operators.
FORBIDDEN_FIELDS = frozenset(
    (
        'api_key',
        'authorization',
        'body',
        'key',
        'payload',
        'prompt',
        'secret',
        'text',
        'tokens',
    ),
)


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object per line.

    Parameters
    ----------
    stream
        Stream to which the lines are written.
    level
        Lowest level of the records that are written.
    common
        Fields that every line contains, such as the name of the process.
    """

    def __init__(
        self,
        stream: TextIO | LineWriter,
        level: int = logbook.NOTSET,
        common: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(stream, level=level)
        self.common = MappingProxyType(dict(common or {}))

    def format(self, record: logbook.LogRecord) -> str:
        """Return the JSON form of a record."""
        fields = {
            name: field
            for name, field in record.extra.items()
            if name not in FORBIDDEN_FIELDS
        }
        line = {
            'time': record.time.isoformat(),
            'level': record.level_name,
            'logger': record.channel,
            'event': record.msg,
            **self.common,
            **fields,
        }
        return _json(line)


def _json(line: dict[str, Any]) -> str:
    try:
        return msgspec.json.encode(line, enc_hook=str).decode()
    except Exception:
        # A field holds what has no JSON form, such as half of a surrogate pair.
        shown = {name: _shown(field) for name, field in line.items()}
        return msgspec.json.encode(shown).decode()


def _shown(field: Any) -> str:
    """Return a field of any kind as text in ASCII."""
    try:
        return str(field).encode('ascii', 'backslashreplace').decode()
    except Exception:
        return type(field).__name__


class Log:
    """Logger of one component.

    Parameters
    ----------
    name
        Name of the component, such as ``entry.peer``.
    """

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event that is needed only for debugging."""
        self._logger.debug(event, extra=fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator may want to check."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log an event that requires an operator to act."""
        self._logger.error(event, extra=fields)
