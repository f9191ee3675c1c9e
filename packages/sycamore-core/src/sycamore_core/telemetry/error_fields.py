"""Fields of a log line about an error that nobody expected."""

import traceback
from pathlib import PurePath

#: Number of characters of an error that are logged. Its text may contain a
#: part of the input that caused it.
MAX_ERROR_CHARACTERS = 300
#: Part of the names of the folders of this project's packages.
_OWN_PACKAGE = 'sycamore_'


def error_fields(error: BaseException) -> dict[str, str]:
    """Return what an error is and where in this project's code it arose.

    Examples
    --------
    >>> error_fields(KeyError('zone'))
    {'error': "KeyError('zone')", 'at': ''}
    """
    return {'error': _describe(error), 'at': _origin(error)}


def _describe(error: BaseException) -> str:
    try:
        text = repr(error)
    except Exception:
        # Such as an error whose argument is nested too deeply.
        text = type(error).__name__
    return text[:MAX_ERROR_CHARACTERS]


def _origin(error: BaseException) -> str:
    """Return the innermost place in this project's code; empty if none."""
    own = [
        frame
        for frame in traceback.extract_tb(error.__traceback__)
        if _OWN_PACKAGE in frame.filename
    ]
    if not own:
        return ''
    innermost = own[-1]
    *_, package, module = PurePath(innermost.filename).parts
    line = innermost.lineno
    return f'{package}/{module}:{line} {innermost.name}'
