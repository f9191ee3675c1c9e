"""Whether bytes of one sender may pass now."""

import asyncio


class Gate:
    """Lets the bytes of one sender pass, late, or not at all.

    A gate that is shut keeps what came and hands it on when it opens, as TCP
    does once a network heals: what arrives then is old.
    """

    def __init__(self) -> None:
        self.delay_seconds: float = 0
        self._open = asyncio.Event()
        self._open.set()

    def shut(self) -> None:
        """Hold all bytes from now on."""
        self._open.clear()

    def heal(self) -> None:
        """Let all bytes pass at once from now on."""
        self.delay_seconds = 0
        self._open.set()

    async def wait(self) -> None:
        """Return when the next bytes may pass."""
        await asyncio.sleep(self.delay_seconds)
        await self._open.wait()
