"""Tests that the pages for operators name all that a process may show."""

import ast
import pathlib
import re
from collections.abc import Iterator

from ...states import CancelReason, RefusalReason, RetryReason
from .. import Attainment, Gauge, Metrics
from ..logs import FORBIDDEN_FIELDS

ROOT = pathlib.Path(__file__).parents[6]
PROCESSES = ('sycamore-core', 'sycamore-entry', 'sycamore-endpoint')
LEVELS = frozenset(('debug', 'info', 'warning', 'error'))


def page(name: str) -> str:
    return (ROOT / 'docs' / name).read_text(encoding='utf-8')


def modules() -> Iterator[ast.Module]:
    for process in PROCESSES:
        for path in (ROOT / 'packages' / process / 'src').rglob('*.py'):
            if 'tests' not in path.parts:
                yield ast.parse(path.read_text(encoding='utf-8'))


def log_calls() -> Iterator[ast.Call]:
    for module in modules():
        for node in ast.walk(module):
            if isinstance(node, ast.Call) and is_log_call(node):
                yield node


def is_log_call(call: ast.Call) -> bool:
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in LEVELS:
        return False
    return ast.unparse(function.value).split('.')[-1] in {'log', '_log'}


def test_each_reason_is_explained() -> None:
    text = page('reasons.md')
    for reason in (*RefusalReason, *RetryReason, *CancelReason):
        assert f'`{reason.value}`' in text


def test_each_event_is_explained() -> None:
    text = page('telemetry.md')
    events = {ast.literal_eval(call.args[0]) for call in log_calls()}
    assert events
    missing = {event for event in events if f'| `{event}` |' not in text}
    assert missing == set()


def test_no_event_has_a_field_that_callers_trust_us_with() -> None:
    """A part of the system logs the text of a request.

    The field would be dropped at run time, and whoever looks for it in the
    log would not find it.
    """
    names = {word.arg for call in log_calls() for word in call.keywords}
    assert not names & FORBIDDEN_FIELDS


def test_each_metric_is_explained() -> None:
    metrics = Metrics('test')
    metrics.watch_attainment(Attainment())
    text = page('telemetry.md')
    named = set(re.findall('sycamore_[a-z_]+', text))
    assert {gauge.value for gauge in Gauge} <= named
    shown = {
        line.split()[2].removesuffix('_total')
        for line in metrics.page().decode().splitlines()
        if line.startswith('# TYPE')
    }
    assert shown <= {name.removesuffix('_total') for name in named}
