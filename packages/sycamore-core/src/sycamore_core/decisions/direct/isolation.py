"""Whether an entry is isolated and should hand its callers over to others.

Load pattern: a network partition separates one entry from the platform and
from all other entries, while callers and some endpoints still reach it.

Without this, the entry keeps placing requests by its own work alone. It sends
long prompts to engines that other entries have filled, and its callers wait
several times as long as at any other entry. New settings do not reach the
entry either. The entry must not leave when only the platform is unreachable:
all entries would leave at once, and no caller would be served.
"""

#: Time without an update from any other entry after which the entry counts as
#: isolated, in seconds. Each entry repeats its update every second, and two
#: updates may be lost.
SILENCE_TIMEOUT_SECONDS = 2.2


def is_isolated(
    last_report_at: float | None,
    now: float,
    *,
    platform_unreachable: bool,
) -> bool:
    """Return whether an entry is separated from the rest of the fleet.

    Parameters
    ----------
    last_report_at
        Time of the last report from another entry, on the monotonic clock.
        None if no report has arrived: an entry without peers cannot hand its
        callers over.
    platform_unreachable
        Whether the platform does not answer this entry.

    Examples
    --------
    >>> is_isolated(10, 13, platform_unreachable=True)
    True
    >>> is_isolated(10, 13, platform_unreachable=False)
    False
    >>> is_isolated(None, 13, platform_unreachable=True)
    False
    """
    if last_report_at is None or not platform_unreachable:
        return False
    return now - last_report_at > SILENCE_TIMEOUT_SECONDS
