"""What Python and libraries report, as lines of the log.

They write it to the standard error output: as text with a traceback, without a
bound, and with a write that blocks the process if nobody reads.
"""

import logging
import sys
import threading
import time
from types import TracebackType

from ..decisions.repeated_messages import RepeatedMessages
from ..error_translation import MAX_ERROR_CHARACTERS, describe_error
from .error_fields import error_fields
from .logs import Log

#: Name under which errors are logged that Python itself reports.
_PYTHON = 'python'


class LibraryMessages(logging.Handler):
    """Writes the messages of libraries to the log, repeated ones counted."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self.log = log
        self.repeated = RepeatedMessages()

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message, if it is one of those that are written."""
        error = record.exc_info[1] if record.exc_info else None
        place = f'{record.module}:{record.lineno}'
        kind = f'{record.name} {place} {_raised_at(error)}'
        count = self.repeated.record(kind, time.monotonic())
        if not count:
            return
        is_error = record.levelno >= logging.ERROR
        write = self.log.error if is_error else self.log.warning
        write(
            'library_message',
            library=record.name,
            place=place,
            message=_message(record),
            count=count,
            **({} if error is None else error_fields(error)),
        )


def capture_library_messages() -> None:
    """Write to the log what would go to the standard error output."""
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(LibraryMessages(Log('library')))
    logging.captureWarnings(True)  # noqa: FBT003 - its only parameter
    sys.excepthook = _log_end
    sys.unraisablehook = _log_unraisable
    threading.excepthook = _log_thread_end


def _message(record: logging.LogRecord) -> str:
    try:
        message = record.getMessage()
    except Exception as error:
        # The arguments of the library do not fit its own text.
        message = f'{record.msg} ({describe_error(error)})'
    return message[:MAX_ERROR_CHARACTERS]


def _raised_at(error: BaseException | None) -> str:
    """Return the type of an error, and where it was raised."""
    trace = None if error is None else error.__traceback__
    place = ''
    while trace is not None:
        code = trace.tb_frame.f_code
        place = f'{code.co_filename}:{trace.tb_lineno}'
        trace = trace.tb_next
    return f'{type(error).__name__} {place}'


def _log_end(
    kind: type[BaseException],
    error: BaseException,
    trace: TracebackType | None,
) -> None:
    """Log the error that ends the process."""
    Log('process').error('process_failed', **error_fields(error))


def _log_unraisable(unraisable: 'sys.UnraisableHookArgs') -> None:
    """Log an error that Python can raise nowhere, as in a finalizer."""
    logging.getLogger(_PYTHON).error(
        unraisable.err_msg or 'Exception ignored',
        exc_info=unraisable.exc_value,
    )


def _log_thread_end(ended: threading.ExceptHookArgs) -> None:
    """Log the error that ends a thread."""
    logging.getLogger(_PYTHON).error(
        'Exception in a thread', exc_info=ended.exc_value
    )
