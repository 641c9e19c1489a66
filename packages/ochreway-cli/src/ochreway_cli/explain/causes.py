# SPDX-License-Identifier: Apache-2.0
"""Sentences that explain why a request or an attempt ended as it did."""

from collections.abc import Callable

from ochreway_cli.explain.logline import LogLine
from ochreway_cli.explain.timeline import RequestTimeline, named_part, prompt_parts

Explainer = Callable[[RequestTimeline, LogLine], str]
"""Returns a sentence that explains a line of a timeline."""

EXPLAINERS: dict[str, Explainer] = {}
"""Explainers by the value of a line's ``reason`` field."""


def explains(*reasons: str) -> Callable[[Explainer], Explainer]:
    """Register the decorated function as the explainer of the given reasons."""

    def register(explainer: Explainer) -> Explainer:
        EXPLAINERS.update(dict.fromkeys(reasons, explainer))
        return explainer

    return register


@explains("group_incomplete")
def _group_lost(timeline: RequestTimeline, line: LogLine) -> str:
    dissolutions = [
        log_line
        for log_line in timeline.group_events(line)
        if log_line.get("phase") == "dissolving"
    ]
    if not dissolutions:
        return f"its group {line.get('group')} was given up; no line tells why"
    return f"its group {line.get('group')} was given up{_cause_text(dissolutions[-1])}"


@explains("target_failed", "target_silent", "link_lost", "answer_short")
def _target_failed(timeline: RequestTimeline, line: LogLine) -> str:
    sentence = f"{line.get('target')} could not be reached, broke off, fell silent or failed"
    dissolving = [
        log_line
        for log_line in timeline.group_events(line)
        if log_line.get("phase") == "dissolving"
    ]
    if dissolving:
        return f"{sentence}; its group was given up{_cause_text(dissolving[-1])}"
    losses = [log_line for log_line in timeline.lines if log_line.event == "engine_lost"]
    for log_line in losses:
        if log_line.get("instance") == line.get("target"):
            return f"{sentence}; {log_line.node} found it lost ({log_line.get('cause')})"
    return sentence


@explains("no_group")
def _no_group(timeline: RequestTimeline, line: LogLine) -> str:
    endings = [
        log_line
        for log_line in timeline.lines
        if log_line.event == "group"
        and log_line.get("model") == line.get("model")
        and log_line.get("phase") in ("closing", "dissolving")
    ]
    sentence = f"no group of {line.get('model')} served, by view {line.get('view')}"
    return (
        f"{sentence}; the last one, {endings[-1].get('group')}, ended{_cause_text(endings[-1])}"
        if endings
        else sentence
    )


@explains("ends_targets")
def _ends_targets(timeline: RequestTimeline, line: LogLine) -> str:
    fingerprint = line.get("fingerprint")
    fatal_lines = [log_line for log_line in timeline.lines if log_line.event == "request_fatal"]
    tries = {
        log_line.get("request")
        for log_line in timeline.lines
        if log_line.event == "attempt" and log_line.get("fingerprint") == fingerprint
    }
    if not fatal_lines:
        return f"targets ended under other tries of the same ({fingerprint}); no line names them"
    return (
        f"targets {fatal_lines[-1].get('targets')} ended while they ran what it asks for"
        f" ({fingerprint}), in {len(tries)} tries that lines name, so it is sent to none"
    )


@explains("prompt_part_ends_targets", "may_end_targets")
def _part_ends_targets(timeline: RequestTimeline, line: LogLine) -> str:
    parts = prompt_parts(line)
    if line.get("reason") == "may_end_targets":
        return (
            f"a part of its prompt ({', '.join(sorted(parts))}) may end targets;"
            " another request with it was being tried, one at a time"
        )
    fatal_lines = [
        log_line
        for log_line in timeline.lines
        if log_line.event == "part_fatal" and named_part(log_line) in parts
    ]
    if not fatal_lines:
        return "targets ended under requests with a part of its prompt; no line names them"
    last = fatal_lines[-1]
    return (
        f"targets {last.get('targets')} ended under requests with the part {named_part(last)}"
        " of its prompt, so none with it is sent"
    )


@explains("no_home")
def _no_home(timeline: RequestTimeline, line: LogLine) -> str:
    return (
        f"by version {line.get('version')} no hall that the entry knows is in a region"
        " that its route and its organisation allow"
    )


@explains("queue_full")
def _queue_full(timeline: RequestTimeline, line: LogLine) -> str:
    if line.event == "attempt":
        return f"{line.get('target')} had no slot; {line.get('load')} requests were counted there"
    ended_groups = {
        log_line.get("group")
        for log_line in timeline.lines
        if log_line.event == "group" and log_line.get("phase") in ("closing", "dissolving")
    }
    sentence = f"each of {line.get('places')} groups of {line.get('model')} had all it can take"
    return (
        f"{sentence}; {len(ended_groups)} had been given up in the seconds before"
        if ended_groups
        else sentence
    )


@explains("backoff")
def _backoff(timeline: RequestTimeline, line: LogLine) -> str:
    if line.event == "attempt" and line.get("status"):
        return f"{line.get('target')} turned it away and asked for {line.get('backoff_s')} s"
    if line.event == "attempt":
        return f"{line.get('target')} had asked to be left alone by the time it was to be sent"
    targets = {
        log_line.get("target") for log_line in timeline.lines if log_line.event == "target_backoff"
    }
    named = f": {', '.join(sorted(targets))}" if targets else ""
    return f"each place that could take it had asked to be left alone for a while{named}"


@explains("target_limit")
def _target_limit(timeline: RequestTimeline, line: LogLine) -> str:
    limits: dict[str, str] = {}
    for log_line in timeline.lines[: timeline.lines.index(line)]:
        if log_line.event in ("target_limit", "target_limit_heard"):
            limits[str(log_line.get("target"))] = str(log_line.get("limit_per_s"))
    named = ", ".join(f"{target} {per_s} a second" for target, per_s in limits.items() if per_s)
    sentence = "this entry had sent its part of what each place takes that named a limit"
    return f"{sentence}: {named}" if named else sentence


@explains("stale_version")
def _stale_version(timeline: RequestTimeline, line: LogLine) -> str:
    sentence = (
        f"the newest proof that version {line.get('version')} is in force"
        f" was {line.get('proof_age_s')} s old"
    )
    store_failure = timeline.last_before("configuration_unavailable", line)
    return (
        f"{sentence}; the store did not answer ({store_failure.get('cause')})"
        if store_failure
        else sentence
    )


@explains("no_configuration")
def _no_configuration(timeline: RequestTimeline, line: LogLine) -> str:
    return "the entry had no configuration yet, as after a start"


@explains("deadline_passed")
def _deadline_passed(timeline: RequestTimeline, line: LogLine) -> str:
    sends = line.get("sends") or line.get("send")
    return f"its time was over, after {line.get('took_s')} s and {sends} sends"


@explains("stopping")
def _stopping(timeline: RequestTimeline, line: LogLine) -> str:
    return "the entry was being stopped"


@explains("unauthorised")
def _unauthorised(timeline: RequestTimeline, line: LogLine) -> str:
    return f"version {line.get('version')} knows no such key"


@explains("unknown_target")
def _unknown_target(timeline: RequestTimeline, line: LogLine) -> str:
    return f"version {line.get('version')} has no such route"


def explain_line(timeline: RequestTimeline, line: LogLine) -> str:
    """Return a sentence that explains a line, or an empty string if there is nothing to add."""
    explainer = EXPLAINERS.get(line.get("reason"))
    if explainer is not None:
        return explainer(timeline, line)
    if line.event == "answered" and line.get("late") == "True":
        return _late_answer(line)
    return ""


def _late_answer(line: LogLine) -> str:
    sentence = f"first part after {line.get('first_s')} s of {line.get('objective_s')} s"
    if int(line.get("sends") or 0) > 1:
        return f"{sentence}, as it was sent {line.get('sends')} times"
    if float(line.get("waited_s") or 0) > 0:
        return f"{sentence}, {line.get('waited_s')} s of them waiting for a place"
    return f"{sentence}, at {line.get('target')}"


def _cause_text(change: LogLine) -> str:
    blamed = f" of {change.get('blamed')}" if change.get("blamed") else ""
    return f" by {change.node} ({change.get('cause') or 'no cause told'}{blamed})"


__all__ = ["EXPLAINERS", "explains", "explain_line"]
