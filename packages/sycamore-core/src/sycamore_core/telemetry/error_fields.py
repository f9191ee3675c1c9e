"""Fields of a log line about an error that nobody expected."""

import traceback
from pathlib import PurePath

from ..error_translation import describe_error

#: Part of the names of the folders of this project's packages.
_OWN_PACKAGE = 'sycamore_'
#: Module whose frames stand between an error and its translation.
_TRANSLATION = 'error_translation.py'


def error_fields(error: BaseException) -> dict[str, str]:
    """Return what an error is and where in this project's code it arose.

    Examples
    --------
    >>> error_fields(KeyError('zone'))
    {'error': "KeyError: 'zone'", 'at': ''}
    """
    return {'error': describe_error(error), 'at': _origin(error)}


def _origin(error: BaseException) -> str:
    """Return the innermost place in this project's code; empty if none."""
    own = [
        frame
        for frame in traceback.extract_tb(error.__traceback__)
        if _OWN_PACKAGE in frame.filename
        and not frame.filename.endswith(_TRANSLATION)
    ]
    if not own:
        return ''
    innermost = own[-1]
    *_, package, module = PurePath(innermost.filename).parts
    line = innermost.lineno
    return f'{package}/{module}:{line} {innermost.name}'
