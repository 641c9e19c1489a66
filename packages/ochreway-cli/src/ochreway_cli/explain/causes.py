# SPDX-License-Identifier: Apache-2.0
"""Saying in a sentence why a request ended as it did."""

from collections.abc import Callable

from ochreway_cli.explain.logline import LogLine
from ochreway_cli.explain.story import Story

Cause = Callable[[Story, LogLine], str]
"""Return a sentence on a line of a story."""

CAUSES: dict[str, Cause] = {}
"""Sentences by the reason that a line names."""


def cause(*reasons: str) -> Callable[[Cause], Cause]:
    """Register the sentence for some reasons."""

    def register(say: Cause) -> Cause:
        CAUSES.update(dict.fromkeys(reasons, say))
        return say

    return register


@cause("group_incomplete")
def _group_lost(story: Story, line: LogLine) -> str:
    ended = [each for each in story.about_group(line) if each.get("phase") == "dissolving"]
    if not ended:
        return f"its group {line.get('group')} was given up; no line tells why"
    return f"its group {line.get('group')} was given up{_of(ended[-1])}"


@cause("target_failed", "link_lost", "answer_short")
def _target_failed(story: Story, line: LogLine) -> str:
    told = f"{line.get('target')} could not be reached, broke off, fell silent or failed"
    given_up = [each for each in story.about_group(line) if each.get("phase") == "dissolving"]
    if given_up:
        return f"{told}; its group was given up{_of(given_up[-1])}"
    lost = [each for each in story.lines if each.event == "engine_lost"]
    for each in lost:
        if each.get("instance") == line.get("target"):
            return f"{told}; {each.node} found it lost ({each.get('cause')})"
    return told


@cause("no_group")
def _no_group(story: Story, line: LogLine) -> str:
    last = [
        each
        for each in story.lines
        if each.event == "group"
        and each.get("model") == line.get("model")
        and each.get("phase") in ("closing", "dissolving")
    ]
    told = f"no group of {line.get('model')} served, by view {line.get('view')}"
    return f"{told}; the last one, {last[-1].get('group')}, ended{_of(last[-1])}" if last else told


@cause("ends_targets")
def _ends_targets(story: Story, line: LogLine) -> str:
    asked = line.get("fingerprint")
    told = [each for each in story.lines if each.event == "request_fatal"]
    tries = {
        each.get("request")
        for each in story.lines
        if each.event == "attempt" and each.get("fingerprint") == asked
    }
    if not told:
        return f"targets ended under other tries of the same ({asked}); no line names them"
    return (
        f"targets {told[-1].get('targets')} ended while they ran what it asks for ({asked}),"
        f" in {len(tries)} tries that lines name, so it is sent to none"
    )


@cause("no_home")
def _no_home(story: Story, line: LogLine) -> str:
    return (
        f"by version {line.get('version')} no hall that the entry knows is in a region"
        " that its route and its organisation allow"
    )


@cause("queue_full")
def _queue_full(story: Story, line: LogLine) -> str:
    if line.event == "attempt":
        return f"{line.get('target')} had no slot; {line.get('load')} requests were counted there"
    ended = {
        each.get("group")
        for each in story.lines
        if each.event == "group" and each.get("phase") in ("closing", "dissolving")
    }
    told = f"each of {line.get('places')} groups of {line.get('model')} had all it can take"
    return f"{told}; {len(ended)} had been given up in the seconds before" if ended else told


@cause("backoff")
def _backoff(story: Story, line: LogLine) -> str:
    if line.event == "attempt" and line.get("status"):
        return f"{line.get('target')} turned it away and asked for {line.get('backoff_s')} s"
    if line.event == "attempt":
        return f"{line.get('target')} had asked to be left alone by the time it was to be sent"
    asked = {each.get("target") for each in story.lines if each.event == "target_backoff"}
    named = f": {', '.join(sorted(asked))}" if asked else ""
    return f"each place that could take it had asked to be left alone for a while{named}"


@cause("target_limit")
def _target_limit(story: Story, line: LogLine) -> str:
    limits: dict[str, str] = {}
    for each in story.lines[: story.lines.index(line)]:
        if each.event in ("target_limit", "target_limit_heard"):
            limits[str(each.get("target"))] = str(each.get("limit_per_s"))
    named = ", ".join(f"{target} {per_s} a second" for target, per_s in limits.items() if per_s)
    told = "this entry had sent its part of what each place takes that named a limit"
    return f"{told}: {named}" if named else told


@cause("stale_version")
def _stale(story: Story, line: LogLine) -> str:
    told = (
        f"the newest proof that version {line.get('version')} is in force"
        f" was {line.get('proof_age_s')} s old"
    )
    away = story.before("configuration_unavailable", line)
    return f"{told}; the store did not answer ({away.get('cause')})" if away else told


@cause("no_configuration")
def _no_configuration(story: Story, line: LogLine) -> str:
    return "the entry had no configuration yet, as after a start"


@cause("deadline_passed")
def _deadline(story: Story, line: LogLine) -> str:
    sends = line.get("sends") or line.get("send")
    return f"its time was over, after {line.get('took_s')} s and {sends} sends"


@cause("stopping")
def _stopping(story: Story, line: LogLine) -> str:
    return "the entry was being stopped"


@cause("unauthorised")
def _unauthorised(story: Story, line: LogLine) -> str:
    return f"version {line.get('version')} knows no such key"


@cause("unknown_target")
def _unknown(story: Story, line: LogLine) -> str:
    return f"version {line.get('version')} has no such route"


def why(story: Story, line: LogLine) -> str:
    """Return a sentence on a line, empty when there is nothing to add."""
    say = CAUSES.get(line.get("reason"))
    if say is not None:
        return say(story, line)
    if line.event == "answered" and line.get("late") == "True":
        return _late(line)
    return ""


def _late(line: LogLine) -> str:
    told = f"first part after {line.get('first_s')} s of {line.get('objective_s')} s"
    if int(line.get("sends") or 0) > 1:
        return f"{told}, as it was sent {line.get('sends')} times"
    if float(line.get("waited_s") or 0) > 0:
        return f"{told}, {line.get('waited_s')} s of them waiting for a place"
    return f"{told}, at {line.get('target')}"


def _of(change: LogLine) -> str:
    blamed = f" of {change.get('blamed')}" if change.get("blamed") else ""
    return f" by {change.node} ({change.get('cause') or 'no cause told'}{blamed})"


__all__ = ["CAUSES", "cause", "why"]
