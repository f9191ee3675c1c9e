"""What decides whether a stopping entry sends a request on."""

import msgspec
from sycamore_core.decisions.direct import AnswerForecast, StopMoment


class StopBasis(msgspec.Struct, frozen=True):
    """What decides whether a stopping entry sends a request on.

    Attributes
    ----------
    is_kept
        Whether its connection has carried a request before.
    """

    moment: StopMoment
    forecast: AnswerForecast
    is_kept: bool

    def log_fields(self) -> dict[str, float | bool]:
        """Return the figures for the log; times are in seconds."""
        return {
            'stop_read_seconds': round(self.moment.read_after, 3),
            'stop_left_seconds': round(self.moment.seconds_left, 3),
            'first_seconds': round(self.forecast.first_seconds, 3),
            'rest_seconds': round(self.forecast.rest_seconds, 3),
            'limit_seconds': round(self.forecast.limit_seconds, 3),
            'kept_connection': self.is_kept,
        }
