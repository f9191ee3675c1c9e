"""Tests that the docs list all reasons, events and metrics of a process."""

import ast
import pathlib
import re
from collections.abc import Iterator

from ...states import CancelReason, RefusalReason, RetryReason
from .. import Attainment, Gauge, Metrics
from ..logs import FORBIDDEN_FIELDS

ROOT = pathlib.Path(__file__).parents[6]
PACKAGES = ('sycamore-core', 'sycamore-entry', 'sycamore-endpoint')
LEVELS = frozenset(('debug', 'info', 'warning', 'error'))


def read_docs_page(name: str) -> str:
    return (ROOT / 'docs' / name).read_text(encoding='utf-8')


def parse_modules() -> Iterator[ast.Module]:
    for package in PACKAGES:
        for path in (ROOT / 'packages' / package / 'src').rglob('*.py'):
            if 'tests' not in path.parts:
                yield ast.parse(path.read_text(encoding='utf-8'))


def log_calls() -> Iterator[ast.Call]:
    for module in parse_modules():
        for node in ast.walk(module):
            if isinstance(node, ast.Call) and is_log_call(node):
                yield node


def is_log_call(call: ast.Call) -> bool:
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in LEVELS:
        return False
    return ast.unparse(function.value).split('.')[-1] in {'log', '_log'}


def test_each_reason_is_documented() -> None:
    text = read_docs_page('reasons.md')
    for reason in (*RefusalReason, *RetryReason, *CancelReason):
        assert f'`{reason.value}`' in text


def test_each_event_is_documented() -> None:
    text = read_docs_page('telemetry.md')
    events = {ast.literal_eval(call.args[0]) for call in log_calls()}
    assert events
    missing = {event for event in events if f'| `{event}` |' not in text}
    assert missing == set()


def test_no_log_call_has_a_forbidden_field() -> None:
    """Guards against a log call with a field that is removed at run time.

    A reader of the log would look for the field in vain.
    """
    names = {keyword.arg for call in log_calls() for keyword in call.keywords}
    assert not names & FORBIDDEN_FIELDS


def test_each_metric_is_documented() -> None:
    metrics = Metrics('test')
    metrics.export_attainment(Attainment())
    text = read_docs_page('telemetry.md')
    documented = set(re.findall('sycamore_[a-z_]+', text))
    assert {gauge.value for gauge in Gauge} <= documented
    exported = {
        line.split()[2].removesuffix('_total')
        for line in metrics.page().decode().splitlines()
        if line.startswith('# TYPE')
    }
    assert exported <= {name.removesuffix('_total') for name in documented}
