"""Result of the replay of a decision."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """A number or name behind a decision."""

    name: str
    shown: str


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """A decision, its reason, and the figures it is based on."""

    decision: str
    reason: str
    figures: tuple[Figure, ...] = ()

    def __str__(self) -> str:
        """Return the explanation as text, one item per line."""
        lines = [f'decision: {self.decision}', f'reason: {self.reason}']
        lines.extend(
            f'{figure.name}: {figure.shown}' for figure in self.figures
        )
        return '\n'.join(lines)


def figures(**named: object) -> tuple[Figure, ...]:
    """Return one figure per keyword argument, labelled by its name."""
    return tuple(
        Figure(name.replace('_', ' '), shown(figure))
        for name, figure in named.items()
    )


def shown(figure: object) -> str:
    """Return a figure as text; floats are rounded to four digits."""
    if isinstance(figure, float):
        return str(round(figure, 4))
    return str(figure)
