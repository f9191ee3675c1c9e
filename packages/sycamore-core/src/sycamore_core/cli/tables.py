"""Formats rows of values as a text table."""

from collections.abc import Sequence


def format_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Return a table with left-aligned columns under a header.

    Examples
    --------
    >>> print(format_table(('band', 'met'), [('short', 12)]))
    band   met
    short  12
    """
    lines = [tuple(map(str, row)) for row in (header, *rows)]
    columns = zip(*lines, strict=True)
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_format_line(line, widths) for line in lines)


def _format_line(line: Sequence[str], widths: Sequence[int]) -> str:
    cells = map(str.ljust, line, widths)
    return '  '.join(cells).rstrip()
