"""Tests of the validation of settings and its error messages."""

from pathlib import Path
from typing import Any

import pytest

from ...errors import SettingsError
from .. import (
    EntryProcessSettings,
    load_process_settings,
    resolve_tree,
)
from .builders import encoded, large_tree, small_tree

ENTRY_FILE = """{
    name: 'entry-a', zone: 'a', http_port: 8080,
    listen: 'tcp://10.0.0.9:7000',
    settings_url: 'http://10.0.0.10:8000',
    peer_keys: {signing: 'k1', files: {k1: 'env:SYCAMORE_PEER_KEY'}},
}"""


def error_message(body: bytes, source: str = 'tree.jsonc') -> str:
    try:
        resolve_tree(body, source)
    except SettingsError as error:
        return str(error)
    return ''


def problem_lines(content: Any) -> list[str]:
    return error_message(encoded(content)).splitlines()


def only_problem(content: Any) -> str:
    problems = problem_lines(content)
    assert len(problems) == 1
    return problems[0]


def with_value(path: str, value: Any) -> dict[str, Any]:
    content = small_tree()
    *parents, last = path.split('/')
    node: Any = content
    for key in parents:
        node = node[key]
    node[last] = value
    return content


def load_entry(folder: Path, text: str) -> EntryProcessSettings:
    path = folder / 'entry.jsonc'
    path.write_text(text)
    return load_process_settings(str(path), EntryProcessSettings)


def entry_error_message(folder: Path, text: str) -> str:
    try:
        load_entry(folder, text)
    except SettingsError as error:
        return str(error)
    return ''


def test_process_file_is_read(tmp_path: Path) -> None:
    assert load_entry(tmp_path, ENTRY_FILE).name == 'entry-a'


def test_problems_of_a_process_file_name_the_file(tmp_path: Path) -> None:
    text = ENTRY_FILE.replace('8080', '80800').replace('listen', 'lisen')
    lines = entry_error_message(tmp_path, text).splitlines()
    assert len(lines) == 3
    assert all(line.startswith(str(tmp_path)) for line in lines)
    assert 'lisen: unknown key; accepted: listen (nearest name)' in lines[0]


def test_missing_file_is_a_settings_error() -> None:
    with pytest.raises(SettingsError, match='No such file'):
        load_process_settings('/nowhere/entry.jsonc', EntryProcessSettings)


def test_all_problems_are_reported_at_once() -> None:
    """Guards against reporting only the first problem of a tree.

    Each further mistake would then cost the operator another publication.
    """
    content = small_tree()
    content['wrokspaces'] = {}
    content['services']['chat']['max_prompt_tokens'] = 'many'
    content['workspaces']['school']['weight'] = 0
    content['workspaces']['school']['services']['caht'] = {}
    content['endpoints']['chat-1']['zone'] = 'c'
    assert problem_lines(content) == [
        'tree.jsonc: wrokspaces: unknown key; '
        'accepted: workspaces (nearest name)',
        "tree.jsonc: services.chat.max_prompt_tokens: found 'many'; "
        'accepted: a whole number of tokens above 0',
        'tree.jsonc: workspaces.school.weight: found 0; '
        'accepted: a number above 0, at most 1000000',
        "tree.jsonc: endpoints.chat-1.zone: found 'c'; accepted: one of a, b",
        'tree.jsonc: workspaces.school.services.caht: a service that neither '
        'the deployment nor an endpoint names; accepted: chat (nearest name)',
    ]


@pytest.mark.parametrize(
    ('path', 'value', 'expected'),
    [
        ('version', 0, 'a whole number from 1 on'),
        ('version', 1.5, 'a whole number from 1 on'),
        ('workspaces/school/weight', -1, 'a number above 0'),
        ('workspaces/school/weight', 'x', 'a number above 0'),
        ('workspaces/school/api_key_hashes', ['x'], '64 hexadecimal digits'),
        ('workspaces/bad name', {}, 'a name of letters'),
        ('services/chat/kind', 'modle', 'one of model, plain'),
        ('services/chat/longest_time_limit_seconds', 0, 'seconds, above 0'),
        ('services/chat/idempotent', 'yes', 'true or false'),
        ('endpoints/chat-1/address', 'tcp://host:1', 'with an IP number'),
        ('endpoints/chat-1/service', 'cat', 'chat (nearest name)'),
        ('endpoints/chat-1/capacity_tokens', -1, 'or 0 for none'),
        ('regions/shore', ['a'], 'each zone in one region'),
        ('policy', {'floor_share': 1.1}, 'a number from 0 to 1'),
        ('policy', {'bands': {'short': 50_000}}, 'short below medium'),
        ('policy', 7, 'an object'),
        ('operator_key_hashes', 'abc', 'a list of: the SHA-256'),
    ],
)
def test_problem_describes_accepted_value(
    path: str,
    value: Any,
    expected: str,
) -> None:
    problem = only_problem(with_value(path, value))
    assert expected in problem.partition('accepted: ')[2]


@pytest.mark.parametrize('number', ['NaN', 'Infinity', '-Infinity'])
def test_non_finite_numbers_are_refused(number: str) -> None:
    body = f'{{version: 1, name: "t", workspaces: {{w: {{weight: {number}}}}}}}'
    with pytest.raises(SettingsError, match='a number above 0'):
        resolve_tree(body.encode())


@pytest.mark.parametrize(
    ('node', 'expected'),
    [
        (
            {'longest_time_limit_seconds': 5, 'default_time_limit_seconds': 6},
            'school.services.chat.default_time_limit_seconds: 6.0 is in force',
        ),
        (
            {
                'longest_time_limit_seconds': 5,
                'targets': [{'band': 'short', 'first_token_seconds': 6}],
            },
            'school.services.chat.targets.short: 6.0 is in force',
        ),
        (
            {
                'targets': [
                    {'band': 'short', 'first_token_seconds': 1},
                    {'band': 'short', 'first_token_seconds': 2},
                ],
            },
            'services.chat.targets: short is listed more than once',
        ),
    ],
)
def test_inconsistent_targets_and_time_limits_are_reported(
    node: dict[str, Any],
    expected: str,
) -> None:
    problem = only_problem(with_value('services/chat', node))
    assert expected in problem


def test_time_limits_are_checked_across_levels() -> None:
    """Guards against a workspace default above the deployment's longest limit.

    Each level is valid alone, but every request without its own time limit
    would be refused.
    """
    content = small_tree()
    content['defaults'] = {'longest_time_limit_seconds': 60}
    school = content['workspaces']['school']
    school['services']['chat'] = {'default_time_limit_seconds': 90}
    content['workspaces']['second'] = school
    problem = only_problem(content)
    assert 'workspaces.school.services.chat.default_time_limit' in problem
    assert '90.0 is in force; accepted: at most 60.0' in problem


def test_invalid_list_items_do_not_hide_other_problems() -> None:
    """Guards against an internal error of the check on invalid list items.

    With a target that lacked two values, the check raised an error that named
    neither the target nor the unknown zone elsewhere.
    """
    good = {'band': 'short', 'first_token_seconds': 1}
    content = with_value('services/chat/targets', [{}, good, good])
    content['endpoints']['chat-1']['zone'] = 'c'
    problems = problem_lines(content)
    assert len(problems) == 4
    assert 'services.chat.targets.0.band: missing' in problems[0]
    assert "zone: found 'c'" in problems[2]
    assert 'short is listed more than once' in problems[3]


def test_endpoints_with_the_same_address_are_reported() -> None:
    content = small_tree()
    content['endpoints']['chat-2'] = content['endpoints']['chat-1']
    problem = only_problem(content)
    assert 'tcp://10.0.0.1:7000 is used by chat-1, chat-2' in problem


def test_key_given_in_place_of_its_hash_is_not_shown(tmp_path: Path) -> None:
    """Guards against an API key in the logs.

    An operator may give a key in place of its hash. The error message goes to
    the log of every process.
    """
    secret = 'sk-live-1234'
    content = with_value('workspaces/school/api_key_hashes', [secret])
    assert secret not in '\n'.join(problem_lines(content))
    text = ENTRY_FILE.replace('env:SYCAMORE_PEER_KEY', f'{secret}:')
    message = entry_error_message(tmp_path, text)
    assert 'or env:NAME' in message
    assert secret not in message


def test_syntax_error_reports_its_line() -> None:
    message = error_message(b'{\n  version: 1\n  name: "x"}')
    assert 'tree.jsonc: not JSON with comments' in message
    assert 'line 3' in message


def test_tree_of_target_fleet_fits_one_stored_value() -> None:
    """Guards against trees too large to publish.

    The platform's settings service stores values of up to 1 MiB. The tree of
    2,400 workspaces and 770 endpoints must take less than half of that.
    """
    body = encoded(large_tree(workspaces=2400, endpoints=770))
    assert len(body) < 1_048_576 // 2
    assert len(resolve_tree(body).workspaces) == 2400


def test_workspaces_that_override_nothing_share_their_values() -> None:
    fleet = resolve_tree(encoded(large_tree(workspaces=60, endpoints=6)))
    shared = {
        id(service)
        for workspace in fleet.workspaces.values()
        for service in workspace.services.values()
    }
    assert len(shared) == 6
