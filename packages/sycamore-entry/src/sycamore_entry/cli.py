"""The command line of the entry process."""

from sycamore_core.cli import make_app
from sycamore_core.settings import EntryProcessSettings

from .process import EntryProcess


async def serve(settings: EntryProcessSettings) -> None:
    """Run one process; its components need the running event loop."""
    await EntryProcess.from_settings(settings).run()


def main() -> None:
    """Run the binary."""
    make_app('sycamore-entry', serve, EntryProcessSettings)()
