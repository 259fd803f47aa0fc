"""Reports the members, leases and metrics of the cluster to operators.

The keys of rows and the names of metrics appear on the command line and at the metrics endpoint, so they must not
change.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from heronlug.cluster.health_checker import HealthChecker
from heronlug.cluster.lease_state import LeaseState
from heronlug.cluster.node import Node
from heronlug.cluster.periodic_tasks import TaskState
from heronlug.cluster.shared_discovery import SharedDiscovery


class _Metric(NamedTuple):
    """The value of a metric and its Prometheus type."""

    kind: str
    """``counter`` or ``gauge``."""
    value: int


def _counter(value: int) -> _Metric:
    return _Metric("counter", value)


def _gauge(value: int) -> _Metric:
    return _Metric("gauge", value)


@dataclass(frozen=True, slots=True)
class ClusterStatus:
    """A member's view of the cluster at a point in time.

    Attributes:
        node: The member.
        tasks: The member's periodic tasks by name.
        now: The time of the member's clock, in milliseconds.
        discovery: The member's shared service discovery; None if service discovery is not shared.
        health_checker: The member's health checker; None if health checks are not configured.
    """

    node: Node
    tasks: Mapping[str, TaskState]
    now: float
    discovery: SharedDiscovery | None
    health_checker: HealthChecker | None

    def members(self) -> list[dict[str, Any]]:
        """Returns a row for each member, this member first."""
        local = self.node.local
        rows: list[dict[str, Any]] = [
            {
                "name": local.name,
                "address": local.address,
                "health": "self",
                "incarnation": local.incarnation,
                "for_s": 0.0,
            }
        ]
        for member in sorted(self.node.membership.members.values(), key=lambda member: member.name):
            rows.append(
                {
                    "name": member.name,
                    "address": member.address,
                    "health": member.health.name.lower(),
                    "incarnation": member.incarnation,
                    "for_s": round((self.now - member.changed_at) / 1000, 1),
                }
            )
        return rows

    def leases(self) -> list[dict[str, Any]]:
        """Returns a row for each lease.

        ``runs`` is None for the leases of shared service discovery and health checks, which run no periodic task.
        """
        return [self._lease(lease) for lease in self.node.leases.leases.values()]

    def _lease(self, lease: LeaseState) -> dict[str, Any]:
        holds = self.node.may_act(lease.name, self.now) is not None
        task = self.tasks.get(lease.name)
        last_run = round((self.now - task.started_at) / 1000, 1) if task is not None and task.runs else None
        return {
            "name": lease.name,
            "owner": self.node.local.name if holds else None,
            "stage": lease.stage.value,
            "fence": lease.token.number if holds else None,
            "lease_left_ms": round(lease.valid_until - self.now) if holds else 0,
            "last_run_s": last_run,
            "runs": task.runs if task is not None else None,
            "failed": task.failed if task is not None else None,
            "takeovers": lease.times_gained,
        }

    def metrics(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        metrics = {**self._node_metrics(), **self._discovery_metrics()}
        if self.health_checker is not None:
            metrics.update({f"host_{name}": _counter(count) for name, count in self.health_checker.counts.items()})
        lines: list[str] = []
        for name, metric in metrics.items():
            lines += [f"# TYPE svc_cluster_{name} {metric.kind}", f"svc_cluster_{name} {metric.value}"]
        lines.append("# TYPE svc_cluster_dropped counter")
        for reason, count in sorted(self.node.codec.dropped.items()):
            lines.append(f'svc_cluster_dropped{{why="{reason}"}} {count}')
        return "\n".join([*lines, ""])

    def _node_metrics(self) -> dict[str, _Metric]:
        membership, tables = self.node.membership, self.node.tables
        return {
            "members": _gauge(len(membership.active_members()) + 1),
            "duties_owned": _gauge(sum(row["owner"] is not None for row in self.leases())),
            "suspicions": _counter(membership.suspicions),
            "false_suspicions": _counter(membership.false_suspicions),
            "refutations": _counter(membership.refutations),
            "local_health": _gauge(membership.local_health),
            "lease_conflicts": _counter(self.node.leases.conflicts),
            "duty_runs": _counter(sum(task.runs for task in self.tasks.values())),
            "duty_runs_failed": _counter(sum(task.failed for task in self.tasks.values())),
            "pieces_sent": _counter(tables.counts["pieces_sent"]),
            "pieces_taken": _counter(tables.counts["pieces_taken"]),
        }

    def _discovery_metrics(self) -> dict[str, _Metric]:
        if self.discovery is None:
            return {}
        view = self.discovery.view
        return {
            "register_readings": _counter(self.discovery.lists_read),
            "register_shared": _gauge(int(view.source.value == "shared")),
            "register_scouted": _counter(self.discovery.interim_reads),
            "register_reads": _gauge(int(view.watching)),
            "register_switches": _counter(view.switches),
            "hosts_down": _gauge(len(view.down)),
            "probes_not_believed": _gauge(int(view.panic)),
        }
