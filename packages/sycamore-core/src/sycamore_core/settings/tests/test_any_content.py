"""Property tests of settings trees with arbitrary content."""

import json
from typing import Any

from hypothesis import example, given, settings
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


def resolves_or_raises_settings_error(body: bytes) -> bool:
    try:
        return resolve_tree(body).name is not None
    except SettingsError as error:
        return bool(str(error))


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(place=st.sampled_from(KEYS), content=VALUES, outer=st.booleans())
@example(place='targets', content=[{}], outer=False)
@example(place='targets', content=[{}, 1, {'band': 'short'}], outer=False)
@example(place='endpoints', content={'a': {}, 'b': 1}, outer=True)
def test_any_content_is_resolved_or_raises_settings_error(
    place: str,
    content: Any,
    *,
    outer: bool,
) -> None:
    """Arbitrary content raises no error other than `SettingsError`.

    Another error would end the task that reads settings, and the process
    would never apply a later version.
    """
    tree: dict[str, Any] = small_tree()
    (tree if outer else tree['services']['chat'])[place] = content
    assert resolves_or_raises_settings_error(encoded(tree))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(body=st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
def test_any_bytes_are_resolved_or_raise_settings_error(body: bytes) -> None:
    assert resolves_or_raises_settings_error(body)


def test_deep_nesting_and_large_version_raise_settings_error() -> None:
    assert resolves_or_raises_settings_error(b'[' * 100_000)
    assert resolves_or_raises_settings_error(
        json.dumps({'version': 10**40}).encode()
    )
