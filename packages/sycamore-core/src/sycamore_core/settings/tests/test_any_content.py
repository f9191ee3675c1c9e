"""Test of trees with any content at all."""

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from ...errors import SettingsError
from .. import resolve_tree
from ..reference import KINDS
from .builders import encoded, small_tree

KEYS = sorted({name for kind in KINDS for name in kind.__struct_fields__})
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(['a', 'chat', 'model', 'tcp://10.0.0.1:1', 'f' * 64])
    | st.text(max_size=8)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(KEYS) | st.text(max_size=5),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def is_resolved_or_refused(body: bytes) -> bool:
    try:
        return resolve_tree(body).name is not None
    except SettingsError as error:
        return bool(str(error))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(place=st.sampled_from(KEYS), content=VALUES, outer=st.booleans())
def test_any_content_is_resolved_or_refused(
    place: str,
    content: Any,
    *,
    outer: bool,
) -> None:
    """An operator publishes something that is far from a tree.

    An error of another kind would end the task that reads settings, and the
    process would never take another version into force.
    """
    tree: dict[str, Any] = small_tree()
    (tree if outer else tree['services']['chat'])[place] = content
    assert is_resolved_or_refused(encoded(tree))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(body=st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
def test_any_bytes_are_resolved_or_refused(body: bytes) -> None:
    assert is_resolved_or_refused(body)


def test_deep_nesting_is_refused() -> None:
    assert is_resolved_or_refused(b'[' * 100_000)
    assert is_resolved_or_refused(json.dumps({'version': 10**40}).encode())
