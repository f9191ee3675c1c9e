"""Identification of a request that is repeated under another id."""

import functools

from sycamore_core.decisions.direct import AttemptEnd
from sycamore_core.hashes import stable_digest
from sycamore_core.ids import ContentDigest, WorkspaceId

from .callers.caller import CallerRequest


class RequestContent:
    """Digest of the method, path, workspace and body of a request.

    A body may be megabytes long. The first half of the digest therefore
    leaves the body out. The full digest is computed only after an attempt has
    broken, or if the first half matches a recorded request.

    Parameters
    ----------
    workspace
        Workspace that the request belongs to; None on public routes.
    """

    def __init__(
        self,
        request: CallerRequest,
        workspace: WorkspaceId | None,
    ) -> None:
        self.request = request
        self.workspace = workspace

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

    @functools.cached_property
    def digest(self) -> ContentDigest:
        """Return the digest of method, path, workspace and body."""
        return ContentDigest(
            self.partial_digest + stable_digest(self.request.body)
        )

    def digest_for_log(self, end: AttemptEnd) -> str:
        """Return the digest if the attempt broke, otherwise an empty text."""
        return self.digest.hex() if end == AttemptEnd.BROKEN else ''
