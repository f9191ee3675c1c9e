"""Translation of whatever a reader or an encoder raises to one error type."""

import contextlib
from collections.abc import Iterator

from .errors import SycamoreError

#: Number of characters of an error that are kept. Its text may repeat the
#: input.
MAX_ERROR_CHARACTERS = 300


@contextlib.contextmanager
def translating_errors(
    subject: str, failure: type[SycamoreError]
) -> Iterator[None]:
    """Raise one type of error for whatever a block raises.

    Decoders raise more than the errors that they document: `RecursionError`
    for values that are nested too deeply, `OverflowError` for numbers that a
    conversion does not support. Without this, such an input ends the task that
    reads it, and meets the task again when that is restarted. A block that
    reads what anybody may have written runs within this, at the boundary.

    Parameters
    ----------
    subject
        What is read or written, for the message of the error.
    failure
        Type of the error. Errors of this type pass as they are.

    Examples
    --------
    >>> from sycamore_core.errors import CodecError
    >>> with translating_errors('port', CodecError):
    ...     int('http')
    Traceback (most recent call last):
        ...
    sycamore_core.errors.CodecError: port: ValueError: invalid literal ...
    """
    try:
        yield
    except failure:
        raise
    except Exception as error:
        reason = describe_error(error)
        raise failure(f'{subject}: {reason}') from error


def describe_error(error: BaseException) -> str:
    """Return the type and the text of an error.

    Examples
    --------
    >>> describe_error(KeyError('zone'))
    "KeyError: 'zone'"
    """
    kind = type(error).__name__
    try:
        text = str(error)
    except Exception:
        # The error refers to a value that is nested too deeply to be shown.
        return kind
    return f'{kind}: {text}'[:MAX_ERROR_CHARACTERS]
