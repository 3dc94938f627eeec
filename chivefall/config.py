"""Settings of an instance, read from JSON with comments."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import json5
import msgspec

from chivefall.errors import ConfigError
from chivefall.model import DomainId, InstanceId

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    "Address",
    "BatchSettings",
    "PlatformBounds",
    "Settings",
    "Timing",
    "load_settings",
    "parse_settings",
]

MAX_PORT = 65535
MAX_QUOTED_LENGTH = 100  # characters of an invalid value that an error message quotes
_PORT = re.compile(r"[0-9]{1,5}")


@dataclass(frozen=True, order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse an address in the form ``host:port``.

        Raises
        ------
        ConfigError
            If the text is not a valid address.
        """
        host, _, port = text.rpartition(":")
        if not host or not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
            raise ConfigError(
                f"{text[:MAX_QUOTED_LENGTH]!r} is not an address",
                "use the form host:port, such as 127.0.0.1:8080",
            )
        return cls(host, int(port))


@dataclass(frozen=True)
class Timing:
    """Intervals and timeouts in seconds.

    Attributes
    ----------
    heartbeat : float
        Interval of the heartbeats to peers.
    freshness : float
        Time for which a confirmation of the document or a heartbeat is valid.
    leader_lease, leader_renewal : float
        Lease of a leader, and interval of its renewals.
    worker_lease : float
        Lease that each renewal grants to the tasks of a worker.
    worker_poll : float
        Longest time for which a worker may wait for a change before it responds.
    gang_lease : float
        Lease of a worker's share of a gang until the start of the whole gang is confirmed.
    instance_list : float
        Interval of reading the platform's list of instances.
    store_timeout, worker_timeout, peer_timeout : float
        Time limits of calls to the store, to workers and to peers.
    shutdown_grace : float
        Time limit of a shutdown.
    """

    heartbeat: float = 1.0
    freshness: float = 3.0
    leader_lease: float = 6.0
    leader_renewal: float = 2.0
    worker_lease: float = 60.0
    worker_poll: float = 20.0
    gang_lease: float = 5.0
    instance_list: float = 5.0
    store_timeout: float = 2.0
    worker_timeout: float = 2.0
    peer_timeout: float = 3.0
    shutdown_grace: float = 30.0


@dataclass(frozen=True)
class PlatformBounds:
    """Times that the platform grants to its workers, or requires of the system.

    Attributes
    ----------
    max_run_lease_ms : float
        Longest lease that workers grant to runs.
    gang_wait_ms : float
        Time for which a started member of a gang waits for the others.
    stop_grace_ms : float
        Longest time from a stop request to the end of the run.
    guaranteed_start_ms : float
        Time limit for the start of work within an account's guarantee.
    checkpoint_restore_ms : float
        Time to resume a task from its checkpoint.
    key_revocation_ms : float
        Time limit for the refusal of a withdrawn API key.
    status_retention : float
        Seconds for which the status of a final job must be known.
    remote_slowdown : float
        Run time of a task away from its data or its gang's rack, relative to local.
    """

    max_run_lease_ms: float = 10_000.0
    gang_wait_ms: float = 3000.0
    stop_grace_ms: float = 900.0
    guaranteed_start_ms: float = 2700.0
    checkpoint_restore_ms: float = 600.0
    key_revocation_ms: float = 5000.0
    status_retention: float = 120.0
    remote_slowdown: float = 3.0


@dataclass(frozen=True)
class BatchSettings:
    """Settings for serving batch jobs on the users' platform.

    Attributes
    ----------
    ready_listen : str
        ``host:port`` of the readiness probe.
    metrics_listen : str
        ``host:port`` of the metrics endpoint.
    cores : float
        Number of processor cores of the machine.
    core_share : float
        Fraction of these cores that the instance may use.
    link_mbps : float
        Bandwidth of the machine's network link in megabits per second.
    descriptors : int
        Number of file descriptors that the process may have open.
    bounds : PlatformBounds
        Times that the platform grants or requires.
    """

    ready_listen: str
    metrics_listen: str
    cores: float = math.inf
    core_share: float = 1.0
    link_mbps: float = math.inf
    descriptors: int = 1024
    bounds: PlatformBounds = field(default_factory=PlatformBounds)


@dataclass(frozen=True)
class Settings:
    """Settings of one entry instance.

    Attributes
    ----------
    instance : InstanceId
        Unique name of the instance.
    region : str
        Region that the instance serves.
    failure_domain : DomainId
        Failure domain that the instance belongs to.
    listen : str
        ``host:port`` for clients, operators and metrics.
    peer_listen : str
        ``host:port`` for messages from other instances.
    store : str
        ``host:port`` of the platform's key-value service.
    peers : dict
        Peer address of each configured instance by its name.
    log_file : str
        Path of the log file, or ``-`` for standard error.
    batch : BatchSettings or None
        Present if the instance serves batch jobs on the users' platform.
    """

    instance: InstanceId
    region: str
    failure_domain: DomainId
    listen: str
    peer_listen: str
    store: str
    peers: dict[InstanceId, str] = field(default_factory=dict)
    timing: Timing = field(default_factory=Timing)
    log_file: str = "-"
    batch: BatchSettings | None = None


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse settings from JSON with comments.

    Parameters
    ----------
    text : str
        Content of the settings file.
    source : str
        Name of the file for error messages.

    Raises
    ------
    ConfigError
        If the text is not valid; the message names the key and the remedy.
    """
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise ConfigError(
            f"{source} is not JSON with comments: {exc}", "correct the syntax at that place"
        ) from exc
    if not isinstance(raw, dict):
        raise ConfigError(f"{source} is not an object", "enclose all keys between { and }")
    _reject_unknown_keys(raw, Settings, source, "")
    _reject_unknown_keys(raw.get("timing", {}), Timing, source, "timing.")
    batch = raw.get("batch", {})
    _reject_unknown_keys(batch, BatchSettings, source, "batch.")
    if isinstance(batch, dict):
        _reject_unknown_keys(batch.get("bounds", {}), PlatformBounds, source, "batch.bounds.")
    try:
        cfg = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as exc:
        raise ConfigError(f"{source}: {exc}", "correct the key that the message names") from exc
    _check_values(cfg, source)
    return cfg


def load_settings(path: Path) -> Settings:
    """Load the settings from a file.

    Raises
    ------
    ConfigError
        If the file cannot be read or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError(f"{path} cannot be read: {exc}", "check the --settings option") from exc
    return parse_settings(text, str(path))


def _reject_unknown_keys(raw: object, kind: type, source: str, prefix: str) -> None:
    if not isinstance(raw, dict):
        return
    known = set(kind.__dataclass_fields__)
    for key in raw:
        if key not in known:
            raise ConfigError(
                f"{source}: unknown key {prefix}{key}",
                f"remove it or use one of {', '.join(sorted(known))}",
            )


def _check_values(cfg: Settings, source: str) -> None:
    addresses = {key: getattr(cfg, key) for key in ("listen", "peer_listen", "store")}
    addresses |= {f"peers.{name}": peer for name, peer in cfg.peers.items()}
    if cfg.batch is not None:
        addresses["batch.ready_listen"] = cfg.batch.ready_listen
        addresses["batch.metrics_listen"] = cfg.batch.metrics_listen
    for key, text in addresses.items():
        try:
            Address.parse(text)
        except ConfigError as exc:
            raise ConfigError(f"{source}: {key}: {exc.problem}", exc.remedy) from exc
    for key in Timing.__dataclass_fields__:
        if not getattr(cfg.timing, key) > 0:
            raise ConfigError(
                f"{source}: timing.{key} is not positive", "use a number of seconds above 0"
            )
    for key in ("cores", "core_share", "link_mbps", "descriptors"):
        if cfg.batch is not None and not getattr(cfg.batch, key) > 0:
            raise ConfigError(
                f"{source}: batch.{key} is not positive",
                "use the value of the machine, or omit the key if it is not a limit",
            )
    for key in PlatformBounds.__dataclass_fields__:
        if cfg.batch is not None and not 0 <= getattr(cfg.batch.bounds, key) < math.inf:
            raise ConfigError(
                f"{source}: batch.bounds.{key} is not a time that can pass",
                "use the bound of the deployment, or omit the key for the default",
            )
    if cfg.batch is not None:
        from chivefall.batch import BatchTiming  # noqa: PLC0415 - imports this module's types

        BatchTiming.from_bounds(cfg.batch.bounds)
    if cfg.timing.leader_renewal * 2 > cfg.timing.leader_lease:
        raise ConfigError(
            f"{source}: timing.leader_renewal is more than half of timing.leader_lease",
            "renew at least twice in each lease period",
        )
