"""The routes of the entry process."""

from tornado.web import Application, url

from . import handlers
from .shared import WebContext

_SERVICE = r'/v1/workspaces/(?P<workspace>[^/]+)/services/(?P<service>[^/]+)'
_REQUEST = r'(?P<request_id>[^/]+)'


def make_application(context: WebContext) -> Application:
    """Return the application with all routes."""
    shared = {'context': context}
    routes = (
        (f'{_SERVICE}/requests', handlers.RequestsHandler),
        (f'{_SERVICE}/reservations', handlers.ReservationsHandler),
        (f'{_SERVICE}/call/(?P<path>.*)', handlers.PlainCallHandler),
        (f'/v1/requests/{_REQUEST}', handlers.AnswerHandler),
        ('/v1/operator/fleet', handlers.FleetHandler),
        ('/v1/operator/attainment', handlers.AttainmentHandler),
        ('/v1/operator/requests', handlers.RecordsHandler),
        (f'/v1/operator/requests/{_REQUEST}', handlers.RecordHandler),
        ('/healthz', handlers.HealthHandler),
        ('/metrics', handlers.MetricsHandler),
    )
    return Application(
        [url(pattern, handler, shared) for pattern, handler in routes],
        default_handler_class=handlers.NotFoundHandler,
        default_handler_args=shared,
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: object) -> None:
    """Omit the access log of tornado; exchanges log their own events."""
