"""Tests of the provenance of effective values."""

import pytest

from ...errors import SettingsError
from ...ids import ServiceId, WorkspaceId
from .. import read_tree
from ..provenance import effective_values, workspace_services
from .builders import encoded, small_tree

SCHOOL = WorkspaceId('school')
CHAT = ServiceId('chat')


def test_each_value_names_its_level() -> None:
    content = small_tree()
    content['defaults'] = {'max_body_bytes': 1, 'max_output_tokens': 1}
    content['services']['chat']['max_output_tokens'] = 2
    content['workspaces']['school']['defaults'] = {'idempotent': False}
    school = content['workspaces']['school']
    school['services']['chat'] = {'max_prompt_tokens': 4}
    found = effective_values(read_tree(encoded(content)), SCHOOL, CHAT)
    levels = {row.field: (row.setting, row.level) for row in found}
    assert levels['max_body_bytes'] == (1, 'defaults')
    assert levels['max_output_tokens'] == (2, 'services.chat')
    assert levels['model'] == ('m', 'services.chat')
    assert levels['idempotent'] == (False, 'workspaces.school.defaults')
    assert levels['max_prompt_tokens'] == (
        4,
        'workspaces.school.services.chat',
    )
    assert levels['longest_time_limit_seconds'] == (3600, 'built in')


def test_error_for_unknown_name_suggests_nearest_name() -> None:
    tree = read_tree(encoded(small_tree()))
    assert list(workspace_services(tree)) == [(SCHOOL, CHAT)]
    with pytest.raises(SettingsError, match=r'school \(nearest name\)'):
        effective_values(tree, WorkspaceId('shcool'), CHAT)
    with pytest.raises(SettingsError, match='no service'):
        effective_values(tree, SCHOOL, ServiceId('booking'))
