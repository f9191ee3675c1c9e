"""Rows of values as text in columns."""

from collections.abc import Sequence


def as_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under a header, each column as wide as it needs.

    Examples
    --------
    >>> print(as_table(('band', 'met'), [('short', 12)]))
    band   met
    short  12
    """
    lines = [tuple(map(str, row)) for row in (header, *rows)]
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_padded(line, widths) for line in lines)


def _padded(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = map(str.ljust, line, widths)
    return '  '.join(cells).rstrip()
