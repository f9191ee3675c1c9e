"""Tests of the commands, run through the command line."""

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest
from click.testing import Result
from typer.testing import CliRunner

from ...settings import EntryProcessSettings
from ...settings.tests.builders import encoded, small_tree
from .. import ExitCode, make_app

OPERATOR_KEY = 'operator-key-of-a-test'
PROCESS_FILE = """{
    name: 'entry-a', zone: 'a', http_port: 8080,
    listen: 'tcp://10.0.0.9:7000',
    settings_url: 'http://10.0.0.10:8000',
    peer_keys: {signing: 'k1', files: {k1: 'env:SYCAMORE_PEER_KEY'}},
}"""


async def record_name(settings: EntryProcessSettings) -> None:
    served.append(settings.name)


served: list[str] = []
APP = make_app('sycamore-core', record_name, EntryProcessSettings)


def invoke(*arguments: str, key: str = OPERATOR_KEY) -> Result:
    return CliRunner().invoke(
        APP,
        arguments,
        env={'SYCAMORE_OPERATOR_KEY': key},
    )


class EntryHandler(BaseHTTPRequestHandler):
    """Answers operator requests like an entry."""

    answers = {
        '/v1/operator/fleet': {'settings_version': 3},
        '/v1/operator/attainment': [],
        '/v1/operator/requests/k1~r%2F1': {'reason': 'overloaded'},
    }

    def do_GET(self) -> None:
        status, answer = 200, self.answers.get(self.path)
        if self.headers['Authorization'] != f'Bearer {OPERATOR_KEY}':
            status, answer = 401, {'reason': 'unauthenticated'}
        self.send_response(status)
        self.end_headers()
        self.wfile.write(json.dumps(answer).encode())

    def log_message(self, *args: object) -> None:
        """Write nothing."""


@pytest.fixture
def entry() -> Iterator[str]:
    server = HTTPServer(('127.0.0.1', 0), EntryHandler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f'http://127.0.0.1:{server.server_port}'
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def tree(tmp_path: Path) -> str:
    path = tmp_path / 'tree.jsonc'
    path.write_bytes(encoded(small_tree()))
    return str(path)


def test_version_is_printed() -> None:
    assert invoke('--version').stdout == 'sycamore-core 0.1.0\n'


def test_run_serves_with_the_settings(tmp_path: Path) -> None:
    path = tmp_path / 'entry.jsonc'
    path.write_text(PROCESS_FILE)
    result = invoke('run', '--settings', str(path))
    assert result.exit_code == ExitCode.OK
    assert served == ['entry-a']


def test_run_without_usable_settings_prints_the_reason() -> None:
    result = invoke('run', '--settings', '/nowhere.jsonc')
    assert result.exit_code == ExitCode.UNUSABLE
    assert 'No such file' in result.stderr


def test_usable_files_are_listed(tree: str, tmp_path: Path) -> None:
    path = tmp_path / 'entry.jsonc'
    path.write_text(PROCESS_FILE)
    result = invoke('check-settings', tree, str(path))
    assert result.exit_code == ExitCode.OK
    assert 'settings tree, version 1, 1 workspaces' in result.stdout
    assert 'settings of process entry-a' in result.stdout


def test_every_problem_of_every_file_is_listed(tmp_path: Path) -> None:
    invalid_tree = small_tree()
    invalid_tree['workspaces']['school'] = {'weight': 0, 'wieght': 1}
    path = tmp_path / 'bad.jsonc'
    path.write_bytes(encoded(invalid_tree))
    result = invoke('check-settings', str(path), '/nowhere.jsonc')
    assert result.exit_code == ExitCode.UNUSABLE
    assert 'workspaces.school.weight: found 0' in result.stderr
    assert 'weight (nearest name)' in result.stderr
    assert 'bad.jsonc: not usable, 2 problem(s)' in result.stderr
    assert 'nowhere.jsonc: not usable, 1 problem' in result.stderr


def test_values_in_force_are_shown_with_their_levels(tree: str) -> None:
    result = invoke('show-settings', tree, '--workspace', 'school')
    assert result.stdout.startswith('school / chat\nsetting')
    assert '"m"' in result.stdout
    assert 'services.chat' in result.stdout
    missing = invoke('show-settings', tree, '--workspace', 'none')
    assert missing.exit_code == ExitCode.UNUSABLE


@pytest.mark.parametrize(
    ('arguments', 'title'),
    [(['schema'], 'EntryProcessSettings'), (['schema', '--tree'], 'TreeNode')],
)
def test_schema_is_printed(arguments: list[str], title: str) -> None:
    assert title in json.loads(invoke(*arguments).stdout)['$defs']


def test_answers_of_the_entry_are_printed(entry: str) -> None:
    fleet = invoke('fleet', '--entry', entry)
    assert json.loads(fleet.stdout) == {'settings_version': 3}
    record = invoke('record', 'k1~r/1', '--entry', entry)
    assert json.loads(record.stdout) == {'reason': 'overloaded'}
    assert 'workspace' in invoke('attainment', '--entry', entry).stdout


def test_refusal_of_an_entry_has_an_exit_code(entry: str) -> None:
    result = invoke('fleet', '--entry', entry, key='another')
    assert result.exit_code == ExitCode.REFUSED
    assert 'status 401: unauthenticated' in result.stderr


def test_unreachable_entry_has_an_exit_code() -> None:
    result = invoke('fleet', '--entry', 'http://127.0.0.1:1')
    assert result.exit_code == ExitCode.UNREACHABLE


def test_operator_key_is_required() -> None:
    result = invoke('fleet', '--entry', 'http://127.0.0.1:1', key='')
    assert result.exit_code == ExitCode.UNUSABLE


def test_serving_process_does_not_import_help_libraries() -> None:
    """Guards against imports of `rich` and `pydantic` by a serving process.

    Each process of the fleet would keep the unused modules in its 64 MB.
    """
    program = (
        'import sys, sycamore_core.cli.tests.test_app as tests\n'
        'tests.APP(["--version"], standalone_mode=False)\n'
        'print({"rich", "pydantic"}.isdisjoint(sys.modules))'
    )
    result = subprocess.run(
        [sys.executable, '-c', program],
        check=True,
        capture_output=True,
        text=True,
    )
    assert result.stdout.split()[-1] == 'True'
