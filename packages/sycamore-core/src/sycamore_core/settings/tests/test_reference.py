"""Tests of the settings reference page."""

import pathlib

import msgspec
import pytest

from ..reference import KINDS, attribute_descriptions, reference_page

PAGE = pathlib.Path(__file__).parents[6] / 'docs' / 'settings-reference.md'


def test_committed_page_is_current() -> None:
    assert PAGE.read_text(encoding='utf-8') == reference_page()


@pytest.mark.parametrize('kind', KINDS)
def test_every_setting_is_described(kind: type[msgspec.Struct]) -> None:
    descriptions = attribute_descriptions(kind)
    names = kind.__struct_fields__
    assert set(descriptions) == set(names)
    assert all(descriptions.values())
