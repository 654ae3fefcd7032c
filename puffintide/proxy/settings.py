"""Settings of a proxy's engine."""

from __future__ import annotations

from dataclasses import dataclass

from puffintide.config.model import Config
from puffintide.config.schema import ProxyProcess
from puffintide.decisions.settings import AdmissionMode
from puffintide.proxy.retry_policy import DeduplicationScope, RequestClassPolicy


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """The limits and policies of one proxy."""

    slice_count: int
    request_classes: tuple[RequestClassPolicy, ...]
    same_zone_only: tuple[bool, ...]  # For each class, whether only servers in the proxy's zone may serve.
    default_retry_mode: int
    retry_wait_objectives: float  # Wait for a response before a retry, in latency objectives.
    ejection_failures: int  # Consecutive failures that eject a server; 0 disables ejection.
    ejection_s: float
    admission_mode: AdmissionMode
    load_balancing_policy: str  # "rotate", "random" or "p2c".
    queue_timeout_s: float  # Maximum wait of a request for a server of its slice, in seconds.
    retry_after_s: float  # Delay sent with a rejection, in seconds.
    zone: int
    single_writer: bool = False
    write_lease_s: float = 1.5
    max_queued_requests: int = 2000
    max_open_requests: int = 20000
    connect_timeout_s: float = 0.25
    response_margin_s: float = 0.015  # Time reserved before the client's deadline to respond, in seconds.


def engine_settings(config: Config, process: ProxyProcess) -> EngineSettings:
    """Build the engine's settings from a configuration.

    Args:
        config: The configuration of the deployment.
        process: The configuration section of this proxy process.

    Returns:
        The settings of the proxy's engine.
    """
    deployment = config.deployment
    return EngineSettings(
        slice_count=deployment.slices,
        request_classes=tuple(
            RequestClassPolicy(
                section.effect,
                DeduplicationScope(section.group),
                section.window_s,
                section.aim_s,
            )
            for section in config.classes.values()
        ),
        same_zone_only=tuple(section.own_zone_only for section in config.classes.values()),
        default_retry_mode=deployment.retry_default,
        retry_wait_objectives=deployment.retry_wait_aims,
        ejection_failures=deployment.shun_after,
        ejection_s=deployment.shun_s,
        admission_mode=AdmissionMode(deployment.admit),
        load_balancing_policy=deployment.pick,
        queue_timeout_s=deployment.hold_s,
        retry_after_s=deployment.refuse_again_s,
        zone=process.zone,
        single_writer=deployment.single_writer,
        write_lease_s=config.charge.write_lease_s,
        max_queued_requests=process.held_most,
        max_open_requests=process.open_most,
        connect_timeout_s=process.connect_s,
        response_margin_s=process.reserve_s,
    )
