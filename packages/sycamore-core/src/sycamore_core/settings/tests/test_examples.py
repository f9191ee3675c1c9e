"""Tests of the example settings at the root of the repository."""

import pathlib

import pytest

from ...states import EndpointKind
from .. import (
    EndpointProcessSettings,
    EntryProcessSettings,
    load_process_settings,
    read_tree,
    resolve_tree,
)

EXAMPLES = pathlib.Path(__file__).parents[6] / 'examples'
DEPLOYMENTS = ('alliance', 'cooperative')
FILES = tuple(EXAMPLES.glob('*/processes/*.jsonc'))


def read_example_tree(deployment: str) -> bytes:
    return (EXAMPLES / deployment / 'tree.jsonc').read_bytes()


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_tree_has_the_sizes_of_the_deployment(deployment: str) -> None:
    tree = read_tree(read_example_tree(deployment), deployment)
    kinds = [
        tree.services[endpoint.service].kind
        for endpoint in tree.endpoints.values()
    ]
    assert kinds.count(EndpointKind.MODEL) == 20
    assert kinds.count(EndpointKind.PLAIN) == 3
    assert len(tree.workspaces) == 10
    assert sum(map(len, tree.regions.values())) == 3


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_only_model_services_are_idempotent(deployment: str) -> None:
    """Calls of plain services move money, so they must not be repeated."""
    fleet = resolve_tree(read_example_tree(deployment), deployment)
    for workspace in fleet.workspaces.values():
        for service in workspace.services.values():
            is_model = service.kind is EndpointKind.MODEL
            assert service.idempotent is is_model


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_process_file_matches_its_tree(path: pathlib.Path) -> None:
    tree = read_tree(read_example_tree(path.parts[-3]))
    zones = {zone for zones in tree.regions.values() for zone in zones}
    if path.stem.startswith('entry'):
        entry = load_process_settings(str(path), EntryProcessSettings)
        assert entry.zone in zones
        return
    endpoint = load_process_settings(str(path), EndpointProcessSettings)
    published = tree.endpoints[endpoint.name]
    assert endpoint.name == path.stem
    assert endpoint.zone == published.zone
    assert endpoint.listen == published.address


def test_local_example_is_valid() -> None:
    folder = EXAMPLES / 'local'
    tree = read_tree((folder / 'tree.jsonc').read_bytes())
    entry_path, endpoint_path = folder / 'entry.jsonc', folder / 'chat-1.jsonc'
    load_process_settings(str(entry_path), EntryProcessSettings)
    endpoint = load_process_settings(
        str(endpoint_path),
        EndpointProcessSettings,
    )
    assert tree.endpoints[endpoint.name].address == endpoint.listen


def test_all_example_process_files_are_found() -> None:
    assert len(FILES) == 18
