"""What a replayed decision is told as."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """A number or name behind a decision."""

    name: str
    shown: str


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """A decision, its reason, and the figures behind it."""

    decision: str
    reason: str
    figures: tuple[Figure, ...] = ()

    def __str__(self) -> str:
        """Return the explanation as text, a line each."""
        lines = [f'decision: {self.decision}', f'reason: {self.reason}']
        lines.extend(f'{entry.name}: {entry.shown}' for entry in self.figures)
        return '\n'.join(lines)


def figures(**named: object) -> tuple[Figure, ...]:
    """Return figures by the names of the arguments."""
    return tuple(
        Figure(name.replace('_', ' '), shown(figure))
        for name, figure in named.items()
    )


def shown(figure: object) -> str:
    """Return a figure as text, numbers rounded."""
    if isinstance(figure, float):
        return str(round(figure, 4))
    return str(figure)
