"""What is wrong with settings, in words that say how to mend it."""

from collections.abc import Sequence

import msgspec

from ..errors import SettingsError

#: Keys and list positions that lead from the root to a value.
Path = tuple[str | int, ...]


class SettingsProblem(msgspec.Struct, frozen=True):
    """One value that cannot be used.

    Attributes
    ----------
    path
        Where it stands.
    found
        What stands there; never a secret.
    accepted
        What would be accepted instead.

    Examples
    --------
    >>> print(SettingsProblem(('workspaces', 'school'), 'found 3', 'an object'))
    workspaces.school: found 3; accepted: an object
    """

    path: Path
    found: str
    accepted: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        place = '.'.join(str(key) for key in self.path) or '(root)'
        return f'{place}: {self.found}; accepted: {self.accepted}'


class SettingsProblemsError(SettingsError):
    """Settings cannot be used, for one or more reasons.

    Parameters
    ----------
    source
        The file, or what was published.
    problems
        All that is wrong.
    """

    def __init__(
        self,
        source: str,
        problems: Sequence[SettingsProblem],
    ) -> None:
        self.source = source
        self.problems = tuple(problems)
        lines = (f'{source}: {problem}' for problem in self.problems)
        super().__init__('\n'.join(lines))
