"""Run the plain service: ``python -m sycamore_standins.plain --port N``."""

import asyncio
from typing import Annotated

import typer

from ..web import serve
from .server import PlainState, make_application


def main(
    port: Annotated[int, typer.Option()],
    host: str = '127.0.0.1',
    delay_seconds: float = 0,
    journal: str = '',
) -> None:
    """Serve the plain service until SIGTERM."""
    state = PlainState(delay_seconds, journal)
    asyncio.run(serve(make_application(state), host, port))


if __name__ == '__main__':
    typer.run(main)
