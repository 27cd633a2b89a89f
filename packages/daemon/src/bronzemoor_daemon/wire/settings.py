"""Settings of a daemon of the statement protocol."""

from dataclasses import dataclass, field

from bronzemoor_core.wire.quotasettings import QuotaSettings

PROXY = "proxy"
CONTROL = "control"


@dataclass(slots=True)
class WireSettings:
    """Settings of one process. Addresses are ``host:port``, durations in seconds.

    ``name`` identifies the daemon to operators; ``peer`` is its address for other
    daemons and its name among them. ``first_start`` is true only while the whole system
    starts for the first time. ``tolerated_losses`` is how many control daemons may fail
    at once. Without ``quota``, the limits of organisations are not enforced.
    ``memory_limit`` (bytes) and ``max_descriptors`` are the limits of the VM; 0 stands
    for the defaults of ``clientbudget``.
    """

    name: str
    roles: tuple[str, ...]
    zone: str
    peer: str
    seeds: tuple[str, ...]
    first_start: bool = False
    listen_clients: str = ""
    listen_readiness: str = ""
    listen_control: str = ""
    listen_metrics: str = ""
    data_folder: str = ""
    stop_grace: float = 6.0
    tolerated_losses: int = 1
    log_level: str = "INFO"
    quota: QuotaSettings | None = None
    memory_limit: int = 0
    max_descriptors: int = 0
    extra: dict[str, str] = field(default_factory=dict)
