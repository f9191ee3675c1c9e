"""The configuration in force, whether it came from the platform or a peer."""

from sycamore_core.errors import PlatformError
from sycamore_core.ids import SettingsVersion
from sycamore_core.messages import SettingsBody
from sycamore_core.platform import unpack_settings
from sycamore_core.routing import PublishedTable, RoutingTable
from sycamore_core.telemetry import Log

from .feed import FleetFeed
from .fleet_metrics import FleetMetrics
from .table_origin import FROM_PEER, TableOrigin


class TableInForce:
    """Applies newer configurations; never returns to an older one.

    Attributes
    ----------
    table
        The configuration in force; None before the first.
    published
        The same with the document from which it was read.
    metrics
        Counts configurations by their source.
    """

    def __init__(self, feed: FleetFeed, metrics: FleetMetrics) -> None:
        self.feed = feed
        self.metrics = metrics
        self.table: RoutingTable | None = None
        self.published: PublishedTable | None = None
        self.log = Log('fleet')

    @property
    def version(self) -> SettingsVersion:
        """Return the version in force; 0 before the first."""
        return SettingsVersion(0) if self.table is None else self.table.version

    def apply(self, published: PublishedTable, origin: TableOrigin) -> None:
        """Put a configuration into force if it is newer."""
        table = published.table
        if table.version <= self.version:
            self._log_ignored(published, origin)
            return
        self.table = table
        self.published = published
        self.metrics.sources.add(origin.source)
        self.log.info(
            'table_in_force',
            settings_version=table.version,
            routes=len(table.routes),
            workspaces=len(table.workspaces),
            settings_age=self.metrics.age(),
            **origin.fields(),
        )

    def apply_peer_body(
        self,
        body: SettingsBody,
        origin: TableOrigin = FROM_PEER,
    ) -> None:
        """Put the configuration of a peer into force if it is newer.

        Other configurations are not parsed: a large one holds up the event
        loop, and several peers may send it.
        """
        if body.version <= self.version:
            return
        try:
            published = self.feed.read_table(unpack_settings(body).body)
        except PlatformError as error:
            self.log.warning(
                'table_of_peer_unreadable',
                reason=str(error),
                offered_version=body.version,
                peer=origin.peer,
            )
            return
        self.apply(published, origin)

    def _log_ignored(
        self,
        offered: PublishedTable,
        origin: TableOrigin,
    ) -> None:
        """Log a configuration that is not newer, unless it is in force."""
        known = self.published
        if known is not None and offered.source != known.source:
            self.log.info(
                'table_ignored',
                settings_version=self.version,
                offered_version=offered.table.version,
                **origin.fields(),
            )
