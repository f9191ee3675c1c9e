"""Whether a long prompt leaves an endpoint that several peers report.

Load pattern: engines of one zone stop responding while they read long prompts.
Such a prompt has no event for seconds even if its engine is well, so that its
own silence shows nothing before a large share of its time limit has passed.

On a full fleet, short requests are silent for too long at many engines, and
peers report these engines as failing although they only are busy. If long
prompts moved then, they would be read twice, which fills the fleet further. The
reports therefore count only while few engines are reported. If a whole zone is
gone, the probes of the connections show it.
"""

#: Number of peers whose reports together outweigh the forecast of an attempt.
MIN_REPORTERS = 2
#: Number of endpoints that `MIN_REPORTERS` peers report at the same time, up to
#: which the reports count.
MAX_REPORTED_TOGETHER = 2


def may_move_early(
    reporters: int,
    reported_together: int,
    alternative_seconds: float,
    seconds_left: float,
) -> bool:
    """Return whether a long prompt without an event moves now.

    Parameters
    ----------
    reporters
        Number of peers that report the same endpoint of the attempt.
    reported_together
        Number of endpoints that `MIN_REPORTERS` peers or more report now.
    alternative_seconds
        Expected time to the first event at another endpoint.
    seconds_left
        Time to the deadline of the request. The objective does not count: a
        late answer still has value, and the endpoint in use gives none.

    Examples
    --------
    >>> may_move_early(2, 1, alternative_seconds=4, seconds_left=9)
    True
    >>> may_move_early(1, 0, alternative_seconds=4, seconds_left=9)
    False
    >>> may_move_early(2, 9, alternative_seconds=4, seconds_left=9)
    False
    """
    is_reported = reporters >= MIN_REPORTERS
    are_few_reported = reported_together <= MAX_REPORTED_TOGETHER
    is_in_time = alternative_seconds < seconds_left
    return is_reported and are_few_reported and is_in_time
