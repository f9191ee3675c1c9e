"""What a process did in a period: it ran, or waited, and for what."""

import enum
import os
import pathlib
import resource
import time

import msgspec

_PROC = pathlib.Path('/proc')
_NANOSECOND = 1e-9
_MICROSECOND = 1e-6
#: Unit of the times in `/proc/stat` and `/proc/self/stat`, in seconds.
_TICK = 0.01
#: Position of the start time in `/proc/self/stat`, after the program's name.
_START_FIELD = 19
#: Position of the time in the run queue in `/proc/self/schedstat`.
_QUEUED_FIELD = 1
#: Position of the stolen time in the first line of `/proc/stat`.
_STEAL_FIELD = 8
#: Bytes that are read of a file; all figures are at its beginning.
_MOST_BYTES = 1024
#: Share of a period that a single cause must account for.
_MAIN_SHARE = 0.5


class DelayCause(enum.StrEnum):
    """Why a process was late."""

    #: The process itself used the processor.
    RAN = 'ran'
    #: Other processes used the processors of the machine.
    WAITED_FOR_PROCESSOR = 'waited_for_processor'
    #: The host of a virtual machine gave the processors to others.
    PROCESSOR_STOLEN = 'processor_stolen'
    #: The machine was short of memory.
    WAITED_FOR_MEMORY = 'waited_for_memory'
    #: The machine waited for its disks.
    WAITED_FOR_DISK = 'waited_for_disk'
    #: The process was stopped by a signal, and continued by another.
    WAS_STOPPED = 'was_stopped'
    #: Nothing of the above; the machine may have been suspended.
    UNKNOWN = 'unknown'


class ProcessTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of a process and its machine, or their change over a period.

    A figure that the system does not provide is 0.

    Attributes
    ----------
    cpu_seconds
        Processor time that the process used.
    queued_seconds
        Time for which its main thread was ready to run but had no processor.
    stolen_seconds
        Time that the host of a virtual machine withheld, a processor.
    memory_seconds, disk_seconds
        Time for which some process of the machine waited for memory or for a
        disk.
    major_faults
        Pages that the process had to wait for, as they were read from a disk.

    Examples
    --------
    >>> before = ProcessTimes(cpu_seconds=1)
    >>> period = ProcessTimes(cpu_seconds=3, major_faults=2).since(before)
    >>> period.cpu_seconds, period.major_faults
    (2, 2)
    >>> period.main_cause(seconds=2.5).value
    'ran'
    """

    cpu_seconds: float = 0
    queued_seconds: float = 0
    stolen_seconds: float = 0
    memory_seconds: float = 0
    disk_seconds: float = 0
    major_faults: int = 0

    @classmethod
    def read(cls, proc: pathlib.Path = _PROC) -> 'ProcessTimes':
        """Return the totals since the start of the process and the machine."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return cls(
            cpu_seconds=usage.ru_utime + usage.ru_stime,
            queued_seconds=_queued_seconds(proc),
            stolen_seconds=_stolen_seconds(proc),
            memory_seconds=_pressure_seconds(proc, 'memory'),
            disk_seconds=_pressure_seconds(proc, 'io'),
            major_faults=usage.ru_majflt,
        )

    def since(self, earlier: 'ProcessTimes') -> 'ProcessTimes':
        """Return the change since earlier totals."""
        return ProcessTimes(
            **{
                name: getattr(self, name) - getattr(earlier, name)
                for name in self.__struct_fields__
            }
        )

    def log_fields(self) -> dict[str, float]:
        """Return the figures as fields of a log line."""
        return {
            'cpu_seconds': round(self.cpu_seconds, 3),
            'queued_seconds': round(self.queued_seconds, 3),
            'stolen_seconds': round(self.stolen_seconds, 3),
            'memory_seconds': round(self.memory_seconds, 3),
            'disk_seconds': round(self.disk_seconds, 3),
            'major_faults': self.major_faults,
        }

    def main_cause(self, seconds: float) -> DelayCause:
        """Return what accounts for most of a period.

        Parameters
        ----------
        seconds
            Length of the period.
        """
        waits = (
            (self.cpu_seconds, DelayCause.RAN),
            (self.queued_seconds, DelayCause.WAITED_FOR_PROCESSOR),
            (self.stolen_seconds, DelayCause.PROCESSOR_STOLEN),
            (self.memory_seconds, DelayCause.WAITED_FOR_MEMORY),
            (self.disk_seconds, DelayCause.WAITED_FOR_DISK),
        )
        for waited, cause in waits:
            if waited >= seconds * _MAIN_SHARE:
                return cause
        return DelayCause.UNKNOWN


def process_age_seconds(proc: pathlib.Path = _PROC) -> float:
    """Return the time since this process was created."""
    # The program's name in parentheses may contain spaces.
    after_name = _read(proc / 'self/stat').rpartition(')')[2]
    fields = after_name.split()
    if len(fields) <= _START_FIELD:
        return 0
    started_at = int(fields[_START_FIELD]) * _TICK
    return time.clock_gettime(time.CLOCK_BOOTTIME) - started_at


def _queued_seconds(proc: pathlib.Path) -> float:
    fields = _read(proc / 'self/schedstat').split()
    if len(fields) <= _QUEUED_FIELD:
        return 0
    return int(fields[_QUEUED_FIELD]) * _NANOSECOND


def _stolen_seconds(proc: pathlib.Path) -> float:
    fields = _read(proc / 'stat').partition('\n')[0].split()
    if len(fields) <= _STEAL_FIELD:
        return 0
    processors = os.cpu_count() or 1
    return int(fields[_STEAL_FIELD]) * _TICK / processors


def _pressure_seconds(proc: pathlib.Path, resource_name: str) -> float:
    """Return how long some process waited for a resource, in seconds."""
    text = _read(proc / 'pressure' / resource_name)
    first_line = text.partition('\n')[0]
    total = first_line.rpartition('total=')[2]
    return int(total) * _MICROSECOND if total.isdecimal() else 0


def _read(path: pathlib.Path) -> str:
    """Return the beginning of a file; it is read in one step."""
    try:
        with path.open('rb', buffering=0) as file:
            return file.read(_MOST_BYTES).decode()
    except OSError:
        # This kernel, or the container, does not provide the figure.
        return ''
