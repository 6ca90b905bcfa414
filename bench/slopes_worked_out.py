"""What each figure comes to at the users' target.

A figure is worked out as a line's value at the target. Where several things
drive it, one line's value there is the base and the others add their slopes.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from bench.slopes_changes import CONTROLS_MEASURED
from bench.slopes_fit import Fit, fit_from
from bench.slopes_target import (
    BYTES_PER_S,
    CPU_SHARE,
    MEMORY_MB,
    TABLE_READS_PER_S,
    TABLE_WRITES_PER_S,
    TARGET,
)

__all__ = ["Row", "rows"]


@dataclass(frozen=True, slots=True)
class Row:
    """One figure at the target.

    Parameters
    ----------
    role, mechanism, unit : str
    worked_out : float
        For the target.
    budget : float or None
        None where the users name none.
    from_fits : tuple of str
        Names of the lines it is worked out from.
    """

    role: str
    mechanism: str
    unit: str
    worked_out: float
    budget: float | None
    from_fits: tuple[str, ...]

    @property
    def is_over(self) -> bool:
        """Whether it exceeds its budget."""
        return self.budget is not None and self.worked_out > self.budget

    def as_dict(self) -> dict:
        """Return plain values for JSON."""
        return asdict(self)


def rows(raw: Mapping[str, dict]) -> list[Row]:
    """Return all figures at the target.

    Raises
    ------
    KeyError
        If a line that is needed was not measured.
    """
    lines = {name: fit_from(each) for name, each in raw.items()}
    return [*_control(lines), *_entry(lines), *_agent(lines), *_platform(lines)]


def _control(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    near, far = "control.by_endpoints.", "control.by_far_controls."
    change, others = "changes.by_organisations.", "changes.by_data_centres."

    def far_share(figure: str) -> float:
        return lines[far + figure].slope * t.controls_far

    asking_cpu = lines[others + "core_share"].slope * (t.data_centres - 1)
    asking_bytes = lines[others + "bytes_per_s"].at(t.data_centres)
    change_cpu = _a_change(lines[change + "control_cpu_ms"]) / 1_000
    change_bytes = _follower_bytes(lines)
    rest_cpu = lines[near + "core_share"].at(t.endpoints_near)
    after_start = lines[near + "udp_bytes_per_s"].at(t.endpoints_near)
    membership = lines["core.membership.bytes_per_s"].at(t.endpoints_near)
    announce = lines[near + "announce_bytes_per_s"].at(t.endpoints_near)
    memory = (
        lines[near + "resident_mb"].at(t.endpoints_near)
        + far_share("resident_mb")
        + lines[change + "control_resident_mb"].slope * t.organisations
    )
    groups_cpu = lines["groups.at_rest.control_core_share"].slope * t.groups / t.nodes
    names = {
        "groups cpu": ("groups.at_rest.control_core_share",),
        "cpu": (near + "core_share",),
        "asking cpu": (others + "core_share",),
        "change cpu": (change + "control_cpu_ms",),
    }
    all_cpu = tuple(name for group in names.values() for name in group)
    all_bytes = (
        "core.membership.bytes_per_s",
        near + "announce_bytes_per_s",
        others + "bytes_per_s",
        change + "peer_bytes",
        change + "object_reads",
    )
    control = "control"
    return [
        Row(control, "membership and announcements at rest", "of a core", rest_cpu,
            CPU_SHARE, names["cpu"]),
        Row(control, "asking other data centres for endpoints", "of a core",
            asking_cpu, CPU_SHARE, names["asking cpu"]),
        Row(control, "following the configuration", "of a core", change_cpu,
            CPU_SHARE, names["change cpu"]),
        Row(control, "leases and coordinators of groups", "of a core", groups_cpu,
            CPU_SHARE, names["groups cpu"]),
        Row(control, "all of these", "of a core",
            rest_cpu + asking_cpu + change_cpu + groups_cpu, CPU_SHARE, all_cpu),
        Row(control, "all", "MB", memory, MEMORY_MB, (near + "resident_mb",
            far + "resident_mb", change + "control_resident_mb")),
        Row(control, "membership datagrams at rest", "B/s", membership, BYTES_PER_S,
            ("core.membership.bytes_per_s",)),
        Row(control, "announcements of the configuration", "B/s", announce, BYTES_PER_S,
            (near + "announce_bytes_per_s",)),
        Row(control, "all datagrams in the minute after a start", "B/s", after_start,
            BYTES_PER_S, (near + "udp_bytes_per_s",)),
        Row(control, "asking other data centres for endpoints", "B/s", asking_bytes,
            BYTES_PER_S, (others + "bytes_per_s",)),
        Row(control, "heads and sections between controls", "B/s", change_bytes,
            BYTES_PER_S, (change + "peer_bytes",)),
        Row(control, "whole configurations for processes that start", "B/s",
            lines["core.configuration.whole_bytes"].at(t.organisations)
            * t.starts_per_s / t.nodes, BYTES_PER_S,
            ("core.configuration.whole_bytes",)),
        Row(control, "all of these but the minute after a start", "B/s",
            membership + announce + asking_bytes + change_bytes, BYTES_PER_S,
            all_bytes),
        Row(control, "reading the platform, a chosen poller", "B/s",
            _poller_bytes(lines), BYTES_PER_S, (change + "platform_bytes",
            "changes.by_services.poller_bytes_per_s")),
        Row(control, "a change in force in one data centre", "s",
            lines[change + "in_force_s"].at(t.organisations), 5.0,
            (change + "in_force_s",)),
    ]  # fmt: skip


def _follower_bytes(lines: Mapping[str, Fit]) -> float:
    # Of the few controls measured a share reads the platform instead of a peer;
    # of the many of a data centre at the target next to none does.
    of_all = _a_change(lines["changes.by_organisations.peer_bytes"])
    reads = lines["changes.by_organisations.object_reads"].at(TARGET.organisations)
    return of_all / (1 - reads)


def _a_change(line: Fit) -> float:
    """Return what changes come to in a second."""
    return line.at(TARGET.organisations) * TARGET.changes_per_s


def _poller_bytes(lines: Mapping[str, Fit]) -> float:
    # Of the four controls measured two are pollers: each has twice the mean.
    looks = lines["changes.by_services.poller_bytes_per_s"].at(TARGET.models)
    change = 2 * _a_change(lines["changes.by_organisations.platform_bytes"])
    return looks + change


def _entry(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    change, requests = "changes.by_organisations.", "requests."
    a_request = lines[requests + "by_tokens.entry_cpu_ms"].at(t.tokens_an_answer)
    watch_cpu = _a_change(lines[change + "entry_cpu_ms"]) / 1_000
    memory = (
        lines[requests + "by_streams.entry_resident_mb"].at(t.streams / t.nodes)
        + lines[requests + "by_organisations.entry_resident_mb"].slope * t.organisations
        + lines[change + "entry_resident_mb"].slope * t.organisations
    )
    entry = "entry"
    return [
        Row(entry, "requests and tokens", "of a core",
            a_request * t.requests_per_s / t.nodes / 1_000, 1.0,
            (requests + "by_tokens.entry_cpu_ms",)),
        Row(entry, "taking in changes of configuration", "of a core", watch_cpu,
            CPU_SHARE, (change + "entry_cpu_ms",)),
        Row(entry, "sections from the control beside it", "B/s, not on the network",
            _a_change(lines[change + "watch_bytes"]), None, (change + "watch_bytes",)),
        Row(entry, "all", "MB", memory, None,
            (requests + "by_streams.entry_resident_mb",
             requests + "by_organisations.entry_resident_mb",
             change + "entry_resident_mb")),
        Row(entry, "page of metrics", "B a scrape",
            lines[requests + "by_organisations.metrics_page_bytes"].at(
                t.organisations), None,
            (requests + "by_organisations.metrics_page_bytes",)),
        Row(entry, "page of metrics", "ms a scrape",
            lines[requests + "by_organisations.metrics_page_cpu_ms"].at(
                t.organisations), 1_000 * t.between_tokens_s,
            (requests + "by_organisations.metrics_page_cpu_ms",)),
    ]  # fmt: skip


def _agent(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    requests = "requests."
    a_request = lines[requests + "by_tokens.agent_cpu_ms"].at(t.tokens_an_answer)
    agent = "agent"
    return [
        Row(agent, "requests and tokens", "of a core",
            a_request * t.requests_per_s / t.workers / 1_000, 1.0,
            (requests + "by_tokens.agent_cpu_ms",)),
        Row(agent, "at rest", "of a core",
            lines[requests + "agent_at_rest.core_share"].at(t.controls_near + 1),
            CPU_SHARE, (requests + "agent_at_rest.core_share",)),
        Row(agent, "all", "MB",
            lines[requests + "by_streams.agent_resident_mb"].at(
                t.streams / t.workers),
            MEMORY_MB, (requests + "by_streams.agent_resident_mb",)),
        Row(agent, "messages of a map change", "messages a change",
            lines["core.maps.messages_a_change"].at(t.ranks), None,
            ("core.maps.messages_a_change",)),
        Row(agent, "a map of one layer", "B a layer",
            lines["core.maps.map_bytes"].at(t.experts), None,
            ("core.maps.map_bytes",)),
        Row("control", "deciding on one layer of a group", "ms a layer",
            lines["core.maps.decision_ms"].at(t.experts), 20.0,
            ("core.maps.decision_ms",)),
    ]  # fmt: skip


def _platform(lines: Mapping[str, Fit]) -> list[Row]:
    t = TARGET
    change, keyed = "changes.by_organisations.", "requests.by_keyed_requests."
    looks = lines["control.by_peers.data_centre_reads_per_s"]
    # Measured among four controls, where as in any data centre two are pollers.
    readers = CONTROLS_MEASURED * t.data_centres
    a_change = _a_change(lines[change + "table_reads"]) * readers
    objects = _a_change(lines[change + "object_reads"]) * readers
    platform = "platform"
    return [
        Row(platform, "looks at the mark, at rest", "reads/s",
            looks.at(t.controls_near) * t.data_centres, TABLE_READS_PER_S,
            ("control.by_peers.data_centre_reads_per_s",)),
        Row(platform, "reads after changes, table", "reads/s", a_change,
            TABLE_READS_PER_S, (change + "table_reads",)),
        Row(platform, "reads after changes, objects", "reads/s", objects,
            TABLE_READS_PER_S, (change + "object_reads",)),
        Row(platform, "leases of groups", "writes/s",
            lines["groups.at_rest.table_writes"].at(t.groups), TABLE_WRITES_PER_S,
            ("groups.at_rest.table_writes",)),
        Row(platform, "leases of groups", "reads/s",
            lines["groups.at_rest.table_reads"].at(t.groups), TABLE_READS_PER_S,
            ("groups.at_rest.table_reads",)),
        Row(platform, "claims, if each request has a key", "writes/s",
            lines[keyed + "table_writes"].slope * t.requests_per_s, TABLE_WRITES_PER_S,
            (keyed + "table_writes",)),
    ]  # fmt: skip
