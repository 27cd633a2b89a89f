"""Settings of one daemon that the core uses; durations are in seconds."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ControlSettings:
    """Timers of the control group and of failure detection."""

    election_timeout_min: float = 0.150
    election_timeout_max: float = 0.300
    heartbeat_interval: float = 0.050
    daemon_heartbeat_interval: float = 0.100
    snapshot_entries: int = 5_000
    announcement_interval: float = 0.100
    announcement_lease: float = 1.0
    suspicion_timeout: float = 0.150
    order_timeout: float = 0.200
    share_lease: float = 3.0
    share_drift: float = 0.10
    digest_interval: float = 1.0
    stale_after: float = 3.0


@dataclass(slots=True)
class DataPathSettings:
    """Limits and timeouts of the path from callers to endpoints."""

    balancer: str = "measured_delay"
    queue_limit: int = 512
    open_timeout: float = 0.5
    call_timeout: float = 1.0
    confirm_timeout: float = 1.0
    catch_up_wait: float = 0.005
    probe_interval: float = 0.5
    probe_timeout: float = 0.25
    max_opening: int = 2
    min_warm: int = 1
    transaction_idle: float = 10.0
    transaction_limit: float = 60.0
    backoff_min: float = 0.005
    backoff_max: float = 0.200
    fallback_reads: int = 2
    max_body: int = 1_048_576


@dataclass(slots=True)
class DrainSettings:
    """Durations of the stages of a graceful stop."""

    delay: float = 2.0
    grace: float = 10.0
    cleanup: float = 2.0


@dataclass(slots=True)
class NodeSettings:
    """``peers`` maps every known daemon to host:port of its Thrift server.

    ``control_members`` names the daemons that form the first control group.
    """

    name: str
    data_centre: str
    region: str = ""
    incarnation: int = 1
    control: bool = False
    peers: dict[str, str] = field(default_factory=dict)
    control_members: tuple[str, ...] = ()
    # Organisations that this daemon serves; empty means all.
    organisations: tuple[str, ...] = ()
    # Keys for session tokens by id; the first one signs.
    token_keys: dict[str, bytes] = field(default_factory=dict)
    # Measured or configured one-way delay to other data centres, seconds.
    delays: dict[str, float] = field(default_factory=dict)
    timers: ControlSettings = field(default_factory=ControlSettings)
    data_path: DataPathSettings = field(default_factory=DataPathSettings)
    drain: DrainSettings = field(default_factory=DrainSettings)
