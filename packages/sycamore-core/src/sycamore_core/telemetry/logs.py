"""Logs as JSON lines, with stable event names and no prompt text."""

import atexit
import sys
from types import MappingProxyType
from typing import Any, TextIO

import logbook
import msgspec

from .line_writer import LineWriter

#: Fields that no log line may have, whatever their content: they name what
#: callers and operators trust us with.
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


class JsonLines(logbook.StreamHandler):
    """Writes each record as one JSON object a line.

    Parameters
    ----------
    stream
        Where the lines go.
    level
        Least level of the records that are written.
    common
        Fields of every line, such as the name of the process.
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
        return msgspec.json.encode(line, enc_hook=str).decode()


class Log:
    """Logger of one part of the system.

    Parameters
    ----------
    name
        The part, such as ``entry.peer``.
    """

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)

    def debug(self, event: str, **fields: Any) -> None:
        """Write an event that only a search for a fault needs."""
        self._logger.debug(event, extra=fields)

    def info(self, event: str, **fields: Any) -> None:
        """Write an event of ordinary work."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write an event that an operator may want to look at."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write an event that needs an operator."""
        self._logger.error(event, extra=fields)


def start_logging(level: str, **common: Any) -> None:
    """Send all records of at least `level` to standard output.

    Writing never blocks, see `LineWriter`.

    Parameters
    ----------
    common
        Fields of every line, such as ``process`` and ``zone``.

    Raises
    ------
    LookupError
        If there is no such level.
    """
    writer = LineWriter(sys.stdout)
    atexit.register(writer.close)
    handler = JsonLines(writer, logbook.lookup_level(level), common)
    handler.push_application()
