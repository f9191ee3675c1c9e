"""Records of recent requests that were refused or failed."""

from .registry import RecordRegistry, RequestRecord

__all__ = ('RecordRegistry', 'RequestRecord')
