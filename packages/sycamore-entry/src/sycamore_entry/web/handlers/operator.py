"""``/v1/operator/...``: the state of this entry process for operators."""

from sycamore_core.ids import RequestId
from sycamore_core.states import RefusalReason

from ...errors import RefusedError
from ...overview import make_overview
from ..auth import check_operator
from .base import BaseHandler

_MAX_LISTED_RECORDS = 100


class OperatorHandler(BaseHandler):
    """Base class of handlers that require an operator's key."""

    def prepare(self) -> None:
        """Check the operator's key."""
        check_operator(self.context.fleet(), self.authorization)


class FleetHandler(OperatorHandler):
    """Serves the endpoints, leases, queues and versions in force."""

    def get(self) -> None:
        """Answer with the overview."""
        self.write_json(make_overview(self.context.entry))


class AttainmentHandler(OperatorHandler):
    """Serves the targets met and missed, and the penalties owed."""

    def get(self) -> None:
        """Answer with one row for each target."""
        self.write_json(self.context.entry.attainment.rows())


class RecordsHandler(OperatorHandler):
    """Serves the newest refused or failed requests."""

    def get(self) -> None:
        """Answer with the newest records."""
        self.write_json(self.context.entry.records.newest(_MAX_LISTED_RECORDS))


class RecordHandler(OperatorHandler):
    """Serves the record of one refused or failed request."""

    def get(self, request_id: str) -> None:
        """Answer with the record."""
        record = self.context.entry.records.find(RequestId(request_id))
        if record is None:
            raise RefusedError(
                RefusalReason.UNKNOWN_REQUEST,
                'this entry has no record of the request',
            )
        self.write_json(record)
