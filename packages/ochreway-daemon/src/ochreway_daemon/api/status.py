# SPDX-License-Identifier: Apache-2.0
"""An entry's view of the system, for the operators' command."""

from collections import Counter
from typing import Any

from ochreway_core.reason import Reason
from ochreway_core.rows import GroupRow
from ochreway_nodes.controller import Controller
from ochreway_nodes.controller.health import Health
from ochreway_nodes.entry import EntryNode


def entry_status(node: EntryNode, now_s: float) -> dict[str, Any]:
    """Return an entry's view as JSON content."""
    return {
        "entry": node.me.node,
        "version": node.version,
        "in_flight": len(node.calls),
        "stopping": node.stopping,
        "replicas": [
            {
                "group": replica.group,
                "target": replica.target,
                "gate": replica.gate.value,
                "epoch": replica.epoch,
                "in_flight": replica.in_flight,
                "queued": replica.queued,
            }
            for replica in node.router.replicas.values()
        ],
        "halls": _halls_status(node, now_s),
        "domains": [
            _domain_status(node, controller, now_s)
            for controller in node.controllers.values()
            if controller.holding
        ],
    }


def _halls_status(node: EntryNode, now_s: float) -> dict[str, Any]:
    """Return the drained halls, and the groups and in-flight requests that depend on each hall."""
    groups: Counter[str] = Counter()
    in_flight: Counter[str] = Counter()
    for row in node.keeper.groups():
        replica = node.router.replicas.get(row.group)
        listed = [node.listing[peer.node] for peer in row.members if peer.node in node.listing]
        for hall in {each.hall for each in listed}:
            groups[hall] += 1
            in_flight[hall] += replica.in_flight if replica is not None else 0
    return {
        "version": node.drains.newest.version,
        "drained": list(node.drains.newest.halls),
        "closed": sorted(node.drains.closed(now_s)),
        "groups": dict(groups),
        "in_flight": dict(in_flight),
    }


def _domain_status(node: EntryNode, controller: Controller, now_s: float) -> dict[str, Any]:
    rows = controller.rows
    return {
        "domain": controller.domain,
        "term": rows.lease.term if rows and rows.lease else 0,
        "groups": [
            _group_status(node, controller, row, now_s)
            for row in (rows.groups.values() if rows else ())
        ],
        "stranded": controller.tally.stranded,
        "stranded_instance_s": round(controller.tally.stranded_instance_s, 1),
    }


def _group_status(
    node: EntryNode, controller: Controller, row: GroupRow, now_s: float
) -> dict[str, Any]:
    return {
        "group": row.group,
        "target": row.target,
        "artifact": row.artifact,
        "epoch": row.epoch,
        "version": row.version,
        "draining": row.draining,
        "serving": controller.tally.serving.get(row.group, False),
        "down_s": round(controller.tally.down_s.get(row.group, 0.0), 1),
        "members": [
            {
                "node": peer.node,
                "version": node.view_sync.version_of(peer.node),
                "why_not_ready": _why_not_ready(controller.health.get(peer.node), row, now_s),
            }
            for peer in row.members
        ],
    }


def _why_not_ready(health: Health | None, row: GroupRow, now_s: float) -> str:
    if health is None or health.report is None:
        return "not heard of yet"
    report = health.report
    conditions = (
        (health.silent_for_s(now_s) > 3.0, f"silent for {health.silent_for_s(now_s):.0f} s"),
        (health.leaving or report.leaving, "leaving"),
        (report.epoch != row.epoch, f"at epoch {report.epoch}"),
        (not report.ready, "loading"),
        (not report.granting, "grants no leader"),
        (report.gate not in (Reason.NONE, Reason.NO_GROUP), report.gate.value),
    )
    return next((why for fails, why in conditions if fails), "")


__all__ = ["entry_status"]
