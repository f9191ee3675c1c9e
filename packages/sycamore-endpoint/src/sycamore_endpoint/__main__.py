"""Run the endpoint process with ``python -m sycamore_endpoint``."""

from .cli import main

main()
