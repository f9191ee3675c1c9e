"""Run the platform: ``python -m sycamore_standins.platform --port N``."""

import asyncio
from typing import Annotated

import typer

from ..web import serve
from .server import PlatformState, make_application


def main(port: Annotated[int, typer.Option()], host: str = '127.0.0.1') -> None:
    """Serve settings, instances and weights until SIGTERM."""
    asyncio.run(serve_platform(host, port))


async def serve_platform(host: str, port: int) -> None:
    """Build the state inside the event loop and serve it."""
    await serve(make_application(PlatformState()), host, port)


if __name__ == '__main__':
    typer.run(main)
