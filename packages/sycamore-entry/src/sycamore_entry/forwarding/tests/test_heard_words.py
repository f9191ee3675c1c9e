"""Fields of decoded structs are listed in the page on received values."""

import pathlib
import re

import msgspec
import pytest
from sycamore_core.routing import EndpointRecord

from ..wire import AnswerHead, CallTerms

ROOT = pathlib.Path(__file__).parents[6]
PAGE = ROOT / 'docs' / 'heard.md'


def listed_fields(decoded: type[msgspec.Struct]) -> set[str]:
    """Return the fields in the first column of the table of a type."""
    _, _, table = PAGE.read_text().partition(f'field of `{decoded.__name__}`')
    rows, _, _ = table.partition('\n\n')
    cells = [row.split('|')[1] for row in rows.splitlines()[2:]]
    return set(re.findall(r'`(\w+)`', ' '.join(cells)))


@pytest.mark.parametrize('decoded', [AnswerHead, CallTerms, EndpointRecord])
def test_page_lists_each_field(decoded: type[msgspec.Struct]) -> None:
    """Guards against a decoded field that the page does not list."""
    assert listed_fields(decoded) == set(decoded.__struct_fields__)
