"""What all cases share: the record, the folder, and the exit code."""

import asyncio
import os
import pathlib
import shutil
import sys
import tempfile
import traceback

from entries import DEPS, CannotRun

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
LONGEST_SECONDS = 110


class Record:
    """Writes `record.txt`, with the seconds since the start of the case."""

    def __init__(self, path):
        self._file = path.open('w')
        self._began = None

    def note(self, text):
        now = asyncio.get_running_loop().time()
        if self._began is None:
            self._began = now
        self._file.write(f'{now - self._began:8.3f} {text}\n')
        self._file.flush()


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(file, play):
    """Play a case and exit: 0 if the rule held, 1 if broken, 2 if it failed.

    Parameters
    ----------
    play
        Coroutine function with the record and a temporary folder; it returns
        whether the rule was broken, and ends all its processes.
    """
    place = pathlib.Path(file).resolve().parent
    if not DEPS.is_dir():
        print('target/deps is missing: run the build of the deploy file')
        sys.exit(CANNOT_RUN)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    try:
        code = asyncio.run(_play(play, Record(place / 'record.txt'), folder))
    finally:
        if os.environ.get('KEEP') == '1':
            print(f'logs of the processes: {folder}')
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


async def _play(play, record, folder):
    record.note(f'the disruption is {"on" if has_trouble() else "off"}')
    try:
        async with asyncio.timeout(LONGEST_SECONDS):
            is_broken = await play(record, folder)
    except (CannotRun, OSError, TimeoutError):
        record.note(f'cannot run: {traceback.format_exc()}')
        return CANNOT_RUN
    verdict = 'BROKEN' if is_broken else 'held'
    record.note(f'the rule was {verdict}')
    print(f'the rule was {verdict}')
    return BROKEN if is_broken else HELD
