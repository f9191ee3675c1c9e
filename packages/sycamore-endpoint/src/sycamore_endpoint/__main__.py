"""Run the endpoint process by ``python -m sycamore_endpoint``."""

from .cli import main

main()
