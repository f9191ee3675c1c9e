"""Entry point of ``python -m sycamore_entry``."""

from .cli import main

if __name__ == '__main__':
    main()
