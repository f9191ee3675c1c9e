"""Descriptions of invalid settings that say what would be accepted."""

from collections.abc import Sequence

import msgspec

from ..errors import SettingsError

#: Keys and list indices from the root to a value.
Path = tuple[str | int, ...]


class SettingsProblem(msgspec.Struct, frozen=True):
    """One invalid value in settings.

    Attributes
    ----------
    path
        Path of the value.
    found
        Description of the value; never contains a secret.
    accepted
        Description of an accepted value.

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
        path = '.'.join(str(key) for key in self.path) or '(root)'
        return f'{path}: {self.found}; accepted: {self.accepted}'


class SettingsProblemsError(SettingsError):
    """Settings are invalid, for one or more reasons.

    Parameters
    ----------
    source
        Path of the file, or description of the published tree.
    problems
        All problems found.
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
