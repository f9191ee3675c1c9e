"""Identification of a request that is repeated under another id."""

import functools

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.hashes import stable_digest
from sycamore_core.ids import ContentDigest, PartDigest, WorkspaceId

from .callers.caller_request import CallerRequest

#: Upper bounds of the parts in a log line, and of the characters of their ids.
_MAX_LOGGED_PARTS = 16
_MAX_LOGGED_LENGTH = 32
#: Longest body whose digest may be computed for each request, in bytes. This
#: takes some microseconds.
_CHEAP_BODY_BYTES = 4096


class RequestContent:
    """Digests of a request, and of the parts of its prompt.

    The digest of the request covers its method, path, workspace and body.

    A body may be megabytes long. The first half of the digest therefore
    leaves the body out. The full digest is computed only after an attempt has
    broken, if the first half matches a recorded request, or for a short body.

    Parameters
    ----------
    workspace
        Workspace that the request belongs to; None on public routes.
    shared_parts
        Ids of the parts of the prompt that other requests may contain as well.
    """

    def __init__(
        self,
        request: CallerRequest,
        workspace: WorkspaceId | None,
        shared_parts: tuple[str, ...] = (),
    ) -> None:
        self.request = request
        self.workspace = workspace
        self.shared_parts = shared_parts

    @functools.cached_property
    def partial_digest(self) -> bytes:
        """Return the first half, which covers only the length of the body."""
        parts = (
            self.workspace or '',
            self.request.start.method,
            self.request.start.path,
            str(len(self.request.body)),
        )
        return stable_digest('\n'.join(parts).encode())

    @property
    def is_cheap(self) -> bool:
        """Whether the full digest takes little time."""
        return len(self.request.body) <= _CHEAP_BODY_BYTES

    @functools.cached_property
    def digest(self) -> ContentDigest:
        """Return the digest of method, path, workspace and body."""
        return ContentDigest(
            self.partial_digest + stable_digest(self.request.body)
        )

    @functools.cached_property
    def parts(self) -> tuple[PartDigest, ...]:
        """Return the digests of the shared parts of the prompt."""
        return tuple(map(_part_digest, self.shared_parts))

    def digest_for_log(self, end: AttemptEnd) -> str:
        """Return the digest if the attempt broke, otherwise an empty text."""
        return self.digest.hex() if end == AttemptEnd.BROKEN else ''

    def parts_for_log(self) -> list[str]:
        """Return the first parts, each as its id and its digest."""
        ids = [part_id[:_MAX_LOGGED_LENGTH] for part_id in self.shared_parts]
        digests = [digest.hex() for digest in self.parts]
        named = map(':'.join, zip(ids, digests, strict=True))
        return list(named)[:_MAX_LOGGED_PARTS]


def _part_digest(part_id: str) -> PartDigest:
    return PartDigest(stable_digest(f'part {part_id}'.encode()))
