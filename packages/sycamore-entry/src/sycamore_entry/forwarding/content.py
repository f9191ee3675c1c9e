"""By what a request is known when it comes again under another id."""

import functools

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.hashes import stable_digest
from sycamore_core.ids import ContentDigest, WorkspaceId

from .callers.caller import CallerRequest


class RequestContent:
    """Path, workspace and body of a request, as a digest.

    A body may be megabytes long. The first half of the digest therefore tells
    requests apart without it, and the whole is worked out only when an attempt
    has broken, or the first half is that of a request that is remembered.

    Parameters
    ----------
    workspace
        Whose request it is; None on public routes.
    """

    def __init__(
        self,
        request: CallerRequest,
        workspace: WorkspaceId | None,
    ) -> None:
        self.request = request
        self.workspace = workspace

    @functools.cached_property
    def outline(self) -> bytes:
        """Return the first half: path, workspace and length of the body."""
        parts = (
            self.workspace or '',
            self.request.start.method,
            self.request.start.path,
            str(len(self.request.body)),
        )
        return stable_digest('\n'.join(parts).encode())

    @functools.cached_property
    def digest(self) -> ContentDigest:
        """Return the digest of path, workspace and body."""
        return ContentDigest(self.outline + stable_digest(self.request.body))

    def name_after(self, end: AttemptEnd) -> str:
        """Return the digest for a log line, if an attempt has broken."""
        return self.digest.hex() if end == AttemptEnd.BROKEN else ''
