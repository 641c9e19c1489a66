# SPDX-License-Identifier: Apache-2.0
import json
import tempfile
from pathlib import Path

import testtools
from click.testing import CliRunner

from ochreway_cli.explain import explain
from ochreway_cli.explain.causes import why
from ochreway_cli.explain.command import EXIT_NOT_FOUND, read
from ochreway_cli.explain.logline import parse
from ochreway_cli.explain.story import Story, tell

HOLDER_AHEAD_S = 5.0
"""By how much the clock of the lease's holder is ahead in these logs."""


def text(node: str, at_s: float, event: str, **fields: object) -> str:
    time = f"2026-12-02T10:00:{at_s:09.6f}Z"
    pairs = "".join(f" {name}={value}" for name, value in fields.items())
    return f"time={time} level=INFO event={event} role=entry node={node}{pairs}"


def group(at_s: float, phase: str, **more: object) -> str:
    fields = {"group": "m-1", "epoch": 1, "phase": phase, "model": "m", "members": "i-1,i-2"}
    return text("holder", at_s + HOLDER_AHEAD_S, "group", **(fields | more))


LOST_GROUP = (
    group(1.0, "serving", cause="opened"),
    text("holder", 3.4 + HOLDER_AHEAD_S, "engine_lost", instance="i-2", cause='"no answer"'),
    group(3.41, "dissolving", cause="member_silent", blamed="i-2"),
    group(3.9, "serving", group="m-9", epoch=9, members="i-8,i-9"),
)
OF_ENTRY = (
    text("e", 2.9, "attempt", request="other", group="m-1", epoch=1, reason="queue_full"),
    text(
        *("e", 3.5, "attempt"),
        request="r1",
        send=1,
        target="i-1",
        group="m-1",
        epoch=1,
        reason="group_incomplete",
        took_s=0.9,
    ),
    text(
        *("e", 3.6, "refused"),
        request="r1",
        status=502,
        reason="group_incomplete",
        target="i-1",
        group="m-1",
        epoch=1,
        took_s=1.0,
    ),
)


class ExplainTests(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = Path(tempfile.mkdtemp(prefix="ochreway-explain-"))

    def logs(self, **content: tuple[str, ...]) -> tuple[Path, ...]:
        found = []
        for name, lines in content.items():
            path = self.folder / f"{name}.log"
            path.write_text("\n".join(lines) + "\n")
            found.append(path)
        return tuple(found)

    def story(self, request: str, **content: tuple[str, ...]) -> Story:
        return tell(request, read(self.logs(**content)))

    def test_a_line_is_read_behind_whatever_a_collector_wrote(self) -> None:
        line = parse('  12.5 e-1 time=2026-12-02T10:00:00Z level=INFO event=x node=n a="b c"', 7)
        assert line is not None
        self.assertEqual(("n", 7, "x", "b c"), (line.node, line.number, line.event, line.get("a")))
        self.assertIsNone(parse("Traceback (most recent call last):", 1))

    def test_lines_are_ordered_by_cause_where_clocks_disagree(self) -> None:
        story = self.story("r1", entry=OF_ENTRY, holder=LOST_GROUP)
        told = [(each.node, each.event, each.get("phase")) for each in story.lines]
        self.assertEqual(
            [
                ("holder", "group", "serving"),
                ("holder", "group", "dissolving"),
                ("e", "attempt", ""),
                ("e", "refused", ""),
            ],
            [each for each in told if each[1] != "engine_lost"][:4],
        )

    def test_a_lost_group_is_named_with_the_member_that_was_lost(self) -> None:
        story = self.story("r1", entry=OF_ENTRY, holder=LOST_GROUP)
        assert story.end is not None
        told = why(story, story.end)
        self.assertIn("m-1 was given up by holder (member_silent of i-2)", told)

    def test_stale_keys_are_traced_to_the_store(self) -> None:
        lines = (
            text("e", 1.0, "configuration_unavailable", cause='"feed: status 503"'),
            text("e", 5.0, "keys_trusted", trusted=False, proof_age_s=4.5, version=7),
            text(
                *("e", 5.2, "refused"),
                request="r2",
                status=503,
                reason="stale_version",
                version=7,
                proof_age_s=4.7,
            ),
        )
        story = self.story("r2", entry=lines)
        assert story.end is not None
        told = why(story, story.end)
        self.assertIn("version 7 is in force was 4.7 s old", told)
        self.assertIn("the store did not answer (feed: status 503)", told)

    def test_a_request_without_a_home_names_the_version_that_left_it_none(self) -> None:
        refusal = text("e", 4.0, "refused", request="r4", status=503, reason="no_home", version=7)
        story = self.story("r4", entry=(refusal,))
        assert story.end is not None
        self.assertIn("by version 7 no hall that the entry knows", why(story, story.end))

    def test_places_that_asked_to_be_left_alone_are_named(self) -> None:
        lines = (
            text("e", 3.0, "target_backoff", target="i-1", asked_s=3.0),
            text("other", 3.1, "target_backoff", target="i-7", asked_s=3.0),
            text("e", 3.2, "target_backoff", target="i-2", asked_s=3.0),
            text("e", 3.3, "attempt", request="r5", target="i-2", reason="backoff", status=503),
            text("e", 3.3, "refused", request="r5", status=503, reason="backoff"),
        )
        story = self.story("r5", entry=lines)
        assert story.end is not None
        self.assertIn("asked to be left alone for a while: i-1, i-2", why(story, story.end))
        attempt = next(each for each in story.own if each.event == "attempt")
        self.assertIn("i-2 turned it away", why(story, attempt))

    def test_limits_that_were_reached_are_named_as_they_were_then(self) -> None:
        lines = (
            text("e", 3.0, "target_limit", target="i-1", limit_per_s=1.2, before='""'),
            text("e", 3.1, "target_limit_heard", target="i-2", limit_per_s=2.5, by="f"),
            text("e", 3.1, "target_limit", target="i-3", limit_per_s=4.0, before='""'),
            text("e", 3.2, "target_limit", target="i-3", limit_per_s='""', before=4.0),
            text("e", 3.3, "refused", request="r6", status=503, reason="target_limit"),
            text("e", 3.4, "target_limit", target="i-1", limit_per_s=9.0, before=1.2),
        )
        story = self.story("r6", entry=lines)
        assert story.end is not None
        self.assertIn("limit: i-1 1.2 a second, i-2 2.5 a second", why(story, story.end))

    def test_a_lack_of_groups_names_the_last_one_of_the_model(self) -> None:
        refusal = text(
            *("e", 4.0, "refused"),
            request="r3",
            status=503,
            reason="no_group",
            model="m",
            view="1/8",
        )
        told = self.story("r3", entry=(refusal,), holder=LOST_GROUP[:1] + LOST_GROUP[2:3])
        self.assertEqual([], [each for each in told.lines if each.event == "engine_lost"])
        assert told.end is not None
        # The holder's clock is 5 s ahead, which is within what is looked at.
        self.assertIn("no group of m served, by view 1/8", why(told, told.end))

    def test_the_command_prints_text_or_json_and_says_when_nothing_is_known(self) -> None:
        paths = [str(each) for each in self.logs(entry=OF_ENTRY, holder=LOST_GROUP)]
        runner = CliRunner()
        printed = runner.invoke(explain, ["r1", *paths])
        self.assertEqual(0, printed.exit_code)
        self.assertIn("request r1", printed.output)
        self.assertNotIn("request=other", printed.output)
        content = json.loads(runner.invoke(explain, ["r1", "--json", *paths]).output)
        self.assertEqual("refused", content["ended"])
        self.assertIn("member_silent", content["why"])
        self.assertEqual(EXIT_NOT_FOUND, runner.invoke(explain, ["r9", *paths]).exit_code)

    def test_a_request_that_ends_targets_names_them_and_the_other_tries(self) -> None:
        asked = {"fingerprint": "f1"}
        first = text(
            *("e", 1.0, "attempt"), request="r0", target="i-1", reason="target_failed", **asked
        )
        other = text(*("d", 2.0, "attempt"), request="r9", target="i-7", reason="target_failed")
        fatal = text("d", 30.0, "request_fatal", targets="i-1,i-2,i-3", **asked)
        refused = text(
            *("e", 55.0, "refused"), request="r1", status=503, reason="ends_targets", **asked
        )
        story = self.story("r1", e=(first, refused), d=(other, fatal))
        self.assertEqual(
            ["attempt", "request_fatal", "refused"], [line.event for line in story.lines]
        )
        end = story.end
        assert end is not None
        told = why(story, end)
        self.assertIn("i-1,i-2,i-3 ended while they ran what it asks for (f1)", told)
        self.assertIn("in 1 tries", told)

    def test_a_fingerprint_names_every_try(self) -> None:
        tries = [
            text("e", 1.0 + n, "refused", request=f"r{n}", fingerprint="f1", reason="queue_full")
            for n in range(3)
        ]
        other = text("e", 2.5, "refused", request="r9", fingerprint="f2", reason="queue_full")
        story = self.story("f1", e=(*tries, other))
        self.assertEqual(["r0", "r1", "r2"], [line.get("request") for line in story.own])
