"""Builds the settings of an assigner's decisions from a configuration."""

from __future__ import annotations

from puffintide.config.model import Config
from puffintide.decisions.settings import AdmissionMode, RequestClass, Settings


def zone_distances(config: Config) -> tuple[tuple[int, ...], ...]:
    """Return the distance from each zone to each zone, both by index.

    A zone has distance 0 to itself. The zones that its [zone NAME] section lists follow at 1, 2 and so on,
    and all others share the next distance.

    Returns:
        One row for each zone; empty if no zone has a section.
    """
    if not config.zone_sections:
        return ()
    zones = config.deployment.zones
    rows = []
    for name in zones:
        nearest = config.zone_sections[name].near if name in config.zone_sections else []
        distances = {name: 0} | {other: rank for rank, other in enumerate(nearest, 1)}
        rows.append(tuple(distances.get(other, len(nearest) + 1) for other in zones))
    return tuple(rows)


def request_classes(config: Config) -> tuple[RequestClass, ...]:
    """Return the request classes in the order of their sections."""
    return tuple(
        RequestClass(
            section.effect,
            section.group,
            section.window_s,
            section.aim_s,
            section.deadline_s,
            section.worth,
            section.own_zone_only,
        )
        for section in config.classes.values()
    )


def decision_settings(config: Config, assigner_index: int, zone: int, seed: int) -> Settings:
    """Build the settings of one assigner.

    Args:
        config: The configuration of the deployment.
        assigner_index: The assigner's id.
        zone: Index of the assigner's zone.
        seed: Seed of the assigner's random choices.

    Returns:
        The settings of the assigner's decisions.
    """
    deployment = config.deployment
    channel = config.channel
    return Settings(
        assigner_index=assigner_index,
        assigner_count=deployment.assigners,
        seed=seed,
        zone=zone,
        zone_count=len(deployment.zones),
        request_classes=request_classes(config),
        slice_count=deployment.slices,
        proxy_count=deployment.proxies,
        single_writer=deployment.single_writer,
        caches_keys=deployment.warm_keys,
        default_retry_mode=deployment.retry_default,
        retry_wait_objectives=deployment.retry_wait_aims,
        proxy_ejection_failures=deployment.shun_after,
        admission_mode=AdmissionMode(deployment.admit),
        channel_entries_per_s=channel.lines_per_s,
        channel_header_entries=channel.head_lines,
        channel_capacity_entries=channel.limit,
        channel_delay_s=channel.delay_s,
        channel_delay_max_s=channel.delay_max_s,
        max_messages_per_window=channel.messages_most,
        message_window_s=channel.messages_span_s,
        report_period_s=config.reports.period_s,
        report_entries_per_s=config.reports.lines_per_s,
        load_value_names=tuple(config.reports.names),
        health_checks_enabled=config.probes.allowed,
        watch_on_request=config.list.asked,
        drain_grace_s=config.rules.drain_grace_s,
        slow_start_min_fraction=config.rules.cold_from,
        slow_start_duration_s=config.rules.warm_within_s,
        collapse_load_ratio=config.rules.fall_multiple,
        collapse_duration_s=config.rules.fall_s,
        max_unserved_s=config.rules.bare_s,
        zone_distances=zone_distances(config),
    )
