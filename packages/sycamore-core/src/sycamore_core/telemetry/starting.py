"""Start of the log of a process."""

import atexit
from typing import Any

import logbook

from .library_messages import capture_library_messages
from .line_writer import LineWriter
from .logs import JsonLinesHandler
from .output import standard_output


def start_logging(level: str, **common: Any) -> None:
    """Write all records of at least `level` to standard output.

    Writing never blocks; see `LineWriter`. What Python and libraries report
    becomes a record as well; see `LibraryMessages`.

    Parameters
    ----------
    common
        Fields that every line contains, such as ``process`` and ``zone``.

    Raises
    ------
    LookupError
        If `level` is not the name of a level.
    """
    writer = LineWriter(standard_output())
    atexit.register(writer.close)
    handler = JsonLinesHandler(writer, logbook.lookup_level(level), common)
    handler.push_application()
    capture_library_messages()
