"""The settings and key files of the processes of a fleet."""

import pathlib
import secrets

import msgspec
from sycamore_core.ids import KeyId
from sycamore_core.settings import PeerKeyFiles

_KEY = KeyId('k1')
_KEY_BYTES = 32


class FleetFolder:
    """A temporary folder with the files of one fleet."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.path.mkdir(parents=True, exist_ok=True)

    def write_key(self) -> PeerKeyFiles:
        """Write a fresh key; return the setting that names it."""
        file_path = self.path / 'peer-key'
        file_path.write_text(secrets.token_hex(_KEY_BYTES))
        return PeerKeyFiles(signing=_KEY, files={_KEY: str(file_path)})

    def write_settings(self, name: str, settings: msgspec.Struct) -> str:
        """Write the settings of one process; return the path."""
        file_path = self.path / f'{name}.json'
        file_path.write_bytes(msgspec.json.encode(settings))
        return str(file_path)

    def journal_option(self, name: str) -> str:
        """Return the option for what a back end keeps over a restart."""
        file_path = self.path / f'{name}-journal.jsonl'
        return f'--journal={file_path}'

    def log(self, name: str) -> pathlib.Path:
        """Return the path of the log of one process."""
        return self.path / f'{name}.log'
