"""Logs as JSON lines, with stable event names and no prompt text."""

import sys
from typing import Any

import logbook
import msgspec


class JsonLines(logbook.StreamHandler):
    """Writes each record as one JSON object a line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the JSON form of a record."""
        line = {
            'time': record.time.isoformat(),
            'level': record.level_name,
            'logger': record.channel,
            'event': record.msg,
            **record.extra,
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

    def info(self, event: str, **fields: Any) -> None:
        """Write an event of ordinary work."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write an event that an operator may want to look at."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write an event that needs an operator."""
        self._logger.error(event, extra=fields)


def start_logging(level: str) -> None:
    """Send all records of at least `level` to standard error.

    Raises
    ------
    LookupError
        If there is no such level.
    """
    JsonLines(
        sys.stderr,
        level=logbook.lookup_level(level),
    ).push_application()
