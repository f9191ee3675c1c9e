"""Settings of one process, read from its file when the process starts.

The file holds what differs between instances: names, addresses, the zone and
the locations of secrets. All other settings are in the published tree.
"""

import enum

import msgspec

from ..ids import RegionId
from .values import (
    EndpointName,
    HttpAddress,
    HttpAddressOrNone,
    KeyName,
    PeerAddress,
    PeerAddressOrNone,
    Port,
    PortOrNone,
    ProcessName,
    RegionName,
    Seconds,
    SecretLocation,
    ZoneName,
)


class LogLevel(enum.StrEnum):
    """Lowest level of the log lines that are written."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class PeerKeyFiles(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the keys are that sign messages between the processes.

    Attributes
    ----------
    signing
        Id of the key that signs.
    files
        Where each secret is, by key id: the path of a file, or ``env:NAME``
        for an environment variable. All of them verify.
    """

    signing: KeyName
    files: dict[KeyName, SecretLocation]


class EntryProcessSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of an entry process.

    Attributes
    ----------
    name
        Name of the process; no other process has it.
    zone, region
        Where the process runs.
    http_host, http_port
        Where callers and operators are served.
    listen, advertise
        Address for other processes of the system, as ``tcp://IP:PORT``, and
        the one told to them if it differs.
    settings_url, instances_url
        The platform's settings service and list of instances.
    peer_keys
        The keys that sign messages between the processes.
    log_level
        Least level of the log lines that are written.
    start_seconds
        How long to wait for a first settings tree before giving up.
    drain_seconds
        Longest time, from its signal, that a stop waits for open requests.
    seed_peers
        Addresses of other processes, as ``tcp://IP:PORT``, that are asked for
        their settings at the start, beside the platform.
    """

    name: ProcessName
    zone: ZoneName
    region: RegionName = RegionId('local')
    http_host: str = '127.0.0.1'
    http_port: Port
    listen: PeerAddress
    advertise: PeerAddressOrNone = ''
    settings_url: HttpAddress
    instances_url: HttpAddressOrNone = ''
    peer_keys: PeerKeyFiles
    log_level: LogLevel = LogLevel.INFO
    start_seconds: Seconds = 30
    drain_seconds: Seconds = 600
    seed_peers: tuple[PeerAddress, ...] = ()


class EndpointProcessSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of an endpoint process.

    Attributes
    ----------
    name
        Name of the endpoint in the published tree.
    zone, region, listen, advertise, settings_url, instances_url, peer_keys
        As for an entry process.
    log_level, start_seconds, drain_seconds, seed_peers
        As for an entry process.
    http_host, http_port
        Where operators read metrics; port 0 serves none.
    backend_url
        Base address of the engine or plain service beside this process.
    weights_url
        The platform's weight store, for its rate.
    engine_checks_fencing
        Whether the engine refuses an order with an old fencing number.
    """

    name: EndpointName
    zone: ZoneName
    region: RegionName = RegionId('local')
    http_host: str = '127.0.0.1'
    http_port: PortOrNone = 0
    listen: PeerAddress
    advertise: PeerAddressOrNone = ''
    backend_url: HttpAddress
    settings_url: HttpAddress
    instances_url: HttpAddressOrNone = ''
    weights_url: HttpAddressOrNone = ''
    engine_checks_fencing: bool = True
    peer_keys: PeerKeyFiles
    log_level: LogLevel = LogLevel.INFO
    start_seconds: Seconds = 30
    drain_seconds: Seconds = 600
    seed_peers: tuple[PeerAddress, ...] = ()
