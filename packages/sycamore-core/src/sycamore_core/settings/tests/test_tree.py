"""Tests of inheritance in the published tree."""

import pytest

from ...errors import SettingsError
from .. import resolve_tree

TREE = b"""{
  version: 3, name: 'test', // comments are allowed
  defaults: {max_output_tokens: 10},
  services: {chat: {max_output_tokens: 20, model: 'm'}},
  workspaces: {
    one: {services: {chat: {}}},
    two: {defaults: {max_output_tokens: 30}, services: {chat: {}}},
    three: {defaults: {max_output_tokens: 30},
            services: {chat: {max_output_tokens: 40}}},
  },
}"""


@pytest.mark.parametrize(
    ('workspace', 'expected'),
    [('one', 20), ('two', 30), ('three', 40)],
)
def test_nearest_level_takes_precedence(workspace: str, expected: int) -> None:
    fleet = resolve_tree(TREE)
    chat = fleet.workspaces[workspace].services['chat']
    assert chat.max_output_tokens == expected
    assert chat.model == 'm'


@pytest.mark.parametrize('body', [b'{', b'{}', b'\xff', b'{version: "x"}'])
def test_unusable_tree_is_refused(body: bytes) -> None:
    with pytest.raises(SettingsError):
        resolve_tree(body)
