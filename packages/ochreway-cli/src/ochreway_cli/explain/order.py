# SPDX-License-Identifier: Apache-2.0
"""Causal ordering of log lines from several processes whose clocks disagree."""

from collections import defaultdict
from collections.abc import Iterable
from heapq import heappop, heappush

from ochreway_cli.explain.logline import LogLine

PHASES = ("forming", "serving", "closing", "dissolving")
GROUP_INCOMPLETE = "group_incomplete"

Edges = set[tuple[int, int]]
"""Pairs of indexes into a list of lines; the first line precedes the second."""


def causal_order(lines: list[LogLine]) -> list[LogLine]:
    """Sort lines in an order consistent with each process's log and with causality.

    The lines of one process keep their order. A group is serving before a request is sent to it,
    is dissolved before an attempt ends because of that, and passes through its phases in order;
    lease revisions rise. Lines that none of this orders are sorted by their timestamps.
    """
    successors: dict[int, list[int]] = defaultdict(list)
    predecessor_counts = [0] * len(lines)
    for earlier, later in _edges(lines):
        successors[earlier].append(later)
        predecessor_counts[later] += 1
    ready: list[tuple[float, int]] = []
    for index, line in enumerate(lines):
        if not predecessor_counts[index]:
            heappush(ready, (line.time_s, index))
    ordered = []
    while ready:
        _, index = heappop(ready)
        ordered.append(index)
        for later in successors[index]:
            predecessor_counts[later] -= 1
            if not predecessor_counts[later]:
                heappush(ready, (lines[later].time_s, later))
    if len(ordered) < len(lines):
        # Contradictory lines, such as from the mixed logs of two sites, are sorted by timestamp.
        unordered = set(range(len(lines))) - set(ordered)
        ordered += sorted(unordered, key=lambda index: lines[index].time_s)
    return [lines[index] for index in ordered]


def _edges(lines: list[LogLine]) -> Edges:
    return _node_edges(lines) | _phase_edges(lines) | _attempt_edges(lines) | _lease_edges(lines)


def _node_edges(lines: list[LogLine]) -> Edges:
    by_node: dict[str, list[int]] = defaultdict(list)
    for index, line in enumerate(lines):
        by_node[line.node].append(index)
    return {
        pair
        for indexes in by_node.values()
        for pair in _consecutive_pairs(sorted(indexes, key=lambda position: lines[position].number))
    }


def _phase_edges(lines: list[LogLine]) -> Edges:
    """Order the phases of each group; different lease holders may log different phases."""
    phase_indexes: dict[tuple[str, str], dict[str, int]] = defaultdict(dict)
    for index, line in enumerate(lines):
        if line.event == "group":
            phase_indexes[line.group].setdefault(line.get("phase"), index)
    return {
        pair
        for phases in phase_indexes.values()
        for pair in _consecutive_pairs([phases[phase] for phase in PHASES if phase in phases])
    }


def _attempt_edges(lines: list[LogLine]) -> Edges:
    """Order attempts after their group serves, and those that its loss ended after the loss."""
    serving = _group_indexes(lines, "serving")
    dissolving = _group_indexes(lines, "dissolving")
    edges = set()
    for index, line in enumerate(lines):
        if line.event != "attempt" or not line.get("group"):
            continue
        if line.group in serving:
            edges.add((serving[line.group], index))
        if line.get("reason") == GROUP_INCOMPLETE and line.group in dissolving:
            edges.add((dissolving[line.group], index))
    return edges


def _lease_edges(lines: list[LogLine]) -> Edges:
    acquisitions = [index for index, line in enumerate(lines) if line.event == "lease_taken"]
    return set(
        _consecutive_pairs(
            sorted(acquisitions, key=lambda index: int(lines[index].get("revision") or 0))
        )
    )


def _group_indexes(lines: list[LogLine], phase: str) -> dict[tuple[str, str], int]:
    return {
        line.group: index
        for index, line in enumerate(lines)
        if line.event == "group" and line.get("phase") == phase
    }


def _consecutive_pairs(indexes: list[int]) -> Iterable[tuple[int, int]]:
    return zip(indexes, indexes[1:], strict=False)


__all__ = ["causal_order"]
