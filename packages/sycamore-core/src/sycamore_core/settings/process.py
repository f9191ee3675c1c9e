"""Settings of one process, read from its file at the start.

They hold what differs from instance to instance: names, addresses, the zone
and where secrets are. All else is in the published tree.
"""

import msgspec

from ..ids import EndpointId, EntryId, KeyId, RegionId, ZoneId


class PeerKeyFiles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the keys are that sign messages between the processes.

    Attributes
    ----------
    signing
        Id of the key that signs.
    files
        File with the secret, by key id; all of them verify.
    """

    signing: KeyId
    files: dict[KeyId, str]


class EntryProcessSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of an entry process.

    Attributes
    ----------
    http_host, http_port
        Where callers and operators are served.
    listen, advertise
        Address for other processes of the system, as ``tcp://IP:PORT``, and
        the one told to them if it differs.
    settings_url, instances_url
        The platform's settings service and list of instances.
    seed_peers
        Addresses of other processes, as ``tcp://IP:PORT``, that are asked for
        their settings at the start, beside the platform.
    start_seconds
        How long to wait for a first settings tree before giving up.
    drain_seconds
        Longest time that a graceful stop waits for requests in progress.
    """

    name: EntryId
    zone: ZoneId
    region: RegionId = RegionId('local')
    http_host: str = '127.0.0.1'
    http_port: int
    listen: str
    advertise: str = ''
    settings_url: str
    instances_url: str = ''
    peer_keys: PeerKeyFiles
    log_level: str = 'INFO'
    start_seconds: float = 30
    drain_seconds: float = 600
    seed_peers: tuple[str, ...] = ()


class EndpointProcessSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of an endpoint process.

    Attributes
    ----------
    backend_url
        Base address of the engine or plain service beside this process.
    http_host, http_port
        Where operators read metrics; port 0 serves none.
    engine_checks_fencing
        Whether the engine refuses an order with an old fencing number.
    seed_peers, start_seconds, drain_seconds
        As in `EntryProcessSettings`.
    """

    name: EndpointId
    zone: ZoneId
    region: RegionId = RegionId('local')
    http_host: str = '127.0.0.1'
    http_port: int = 0
    listen: str
    advertise: str = ''
    backend_url: str
    settings_url: str
    instances_url: str = ''
    weights_url: str = ''
    engine_checks_fencing: bool = True
    peer_keys: PeerKeyFiles
    log_level: str = 'INFO'
    start_seconds: float = 30
    drain_seconds: float = 600
    seed_peers: tuple[str, ...] = ()
