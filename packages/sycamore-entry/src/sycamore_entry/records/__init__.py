"""Records of recent requests that were refused or failed."""

from .book import RecordBook, RequestRecord

__all__ = ('RecordBook', 'RequestRecord')
