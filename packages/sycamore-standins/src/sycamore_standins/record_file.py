"""Records of a stand-in that outlive its process.

A test that kills a stand-in has to know afterwards what had run in it.
"""

import pathlib
from typing import Generic, TypeVar

import msgspec

_Record = TypeVar('_Record', bound=msgspec.Struct)


class RecordFile(Generic[_Record]):
    """A file of JSON lines, each written out before it is acted on."""

    def __init__(self, path: str, kind: type[_Record]) -> None:
        self.path = pathlib.Path(path) if path else None
        self.kind = kind

    def read(self) -> list[_Record]:
        """Return what earlier processes wrote."""
        if self.path is None or not self.path.exists():
            return []
        lines = self.path.read_bytes().splitlines()
        return [msgspec.json.decode(line, type=self.kind) for line in lines]

    def append(self, record: _Record) -> None:
        """Write a record out."""
        if self.path is None:
            return
        with self.path.open('ab') as lines:
            lines.write(b''.join((msgspec.json.encode(record), b'\n')))
