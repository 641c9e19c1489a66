# SPDX-License-Identifier: Apache-2.0
import json
import tempfile
from pathlib import Path

import testtools
from click.testing import CliRunner

from ochreway_cli.explain import explain
from ochreway_cli.explain.causes import explain_line
from ochreway_cli.explain.command import EXIT_NOT_FOUND, read_logs
from ochreway_cli.explain.logline import parse_line
from ochreway_cli.explain.timeline import RequestTimeline, build_timeline

HOLDER_CLOCK_AHEAD_S = 5.0
"""How far the clock of the lease holder is ahead in these logs."""


def format_line(node: str, at_s: float, event: str, **fields: object) -> str:
    time = f"2026-12-02T10:00:{at_s:09.6f}Z"
    pairs = "".join(f" {name}={value}" for name, value in fields.items())
    return f"time={time} level=INFO event={event} role=entry node={node}{pairs}"


def format_group_line(at_s: float, phase: str, **more: object) -> str:
    fields = {"group": "m-1", "epoch": 1, "phase": phase, "model": "m", "members": "i-1,i-2"}
    return format_line("holder", at_s + HOLDER_CLOCK_AHEAD_S, "group", **(fields | more))


LOST_GROUP_LINES = (
    format_group_line(1.0, "serving", cause="opened"),
    format_line(
        "holder", 3.4 + HOLDER_CLOCK_AHEAD_S, "engine_lost", instance="i-2", cause='"no answer"'
    ),
    format_group_line(3.41, "dissolving", cause="member_silent", blamed="i-2"),
    format_group_line(3.9, "serving", group="m-9", epoch=9, members="i-8,i-9"),
)
ENTRY_LINES = (
    format_line("e", 2.9, "attempt", request="other", group="m-1", epoch=1, reason="queue_full"),
    format_line(
        *("e", 3.5, "attempt"),
        request="r1",
        send=1,
        target="i-1",
        group="m-1",
        epoch=1,
        reason="group_incomplete",
        took_s=0.9,
    ),
    format_line(
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
        log_paths = []
        for name, lines in content.items():
            path = self.folder / f"{name}.log"
            path.write_text("\n".join(lines) + "\n")
            log_paths.append(path)
        return tuple(log_paths)

    def timeline(self, request: str, **content: tuple[str, ...]) -> RequestTimeline:
        return build_timeline(request, read_logs(self.logs(**content)))

    def test_a_prefix_added_by_a_log_collector_is_skipped(self) -> None:
        line = parse_line(
            '  12.5 e-1 time=2026-12-02T10:00:00Z level=INFO event=x node=n a="b c"', 7
        )
        assert line is not None
        self.assertEqual(("n", 7, "x", "b c"), (line.node, line.number, line.event, line.get("a")))
        self.assertIsNone(parse_line("Traceback (most recent call last):", 1))

    def test_lines_are_ordered_by_cause_where_clocks_disagree(self) -> None:
        timeline = self.timeline("r1", entry=ENTRY_LINES, holder=LOST_GROUP_LINES)
        events = [
            (log_line.node, log_line.event, log_line.get("phase")) for log_line in timeline.lines
        ]
        self.assertEqual(
            [
                ("holder", "group", "serving"),
                ("holder", "group", "dissolving"),
                ("e", "attempt", ""),
                ("e", "refused", ""),
            ],
            [item for item in events if item[1] != "engine_lost"][:4],
        )

    def test_a_lost_group_is_named_with_the_member_that_was_lost(self) -> None:
        timeline = self.timeline("r1", entry=ENTRY_LINES, holder=LOST_GROUP_LINES)
        assert timeline.end is not None
        explanation = explain_line(timeline, timeline.end)
        self.assertIn("m-1 was given up by holder (member_silent of i-2)", explanation)

    def test_stale_keys_are_traced_to_the_store(self) -> None:
        lines = (
            format_line("e", 1.0, "configuration_unavailable", cause='"feed: status 503"'),
            format_line("e", 5.0, "keys_trusted", trusted=False, proof_age_s=4.5, version=7),
            format_line(
                *("e", 5.2, "refused"),
                request="r2",
                status=503,
                reason="stale_version",
                version=7,
                proof_age_s=4.7,
            ),
        )
        timeline = self.timeline("r2", entry=lines)
        assert timeline.end is not None
        explanation = explain_line(timeline, timeline.end)
        self.assertIn("version 7 is in force was 4.7 s old", explanation)
        self.assertIn("the store did not answer (feed: status 503)", explanation)

    def test_a_request_without_a_home_names_the_version(self) -> None:
        refusal = format_line(
            "e", 4.0, "refused", request="r4", status=503, reason="no_home", version=7
        )
        timeline = self.timeline("r4", entry=(refusal,))
        assert timeline.end is not None
        self.assertIn(
            "by version 7 no hall that the entry knows", explain_line(timeline, timeline.end)
        )

    def test_targets_in_backoff_are_named(self) -> None:
        lines = (
            format_line("e", 3.0, "target_backoff", target="i-1", asked_s=3.0),
            format_line("other", 3.1, "target_backoff", target="i-7", asked_s=3.0),
            format_line("e", 3.2, "target_backoff", target="i-2", asked_s=3.0),
            format_line(
                "e", 3.3, "attempt", request="r5", target="i-2", reason="backoff", status=503
            ),
            format_line("e", 3.3, "refused", request="r5", status=503, reason="backoff"),
        )
        timeline = self.timeline("r5", entry=lines)
        assert timeline.end is not None
        self.assertIn(
            "asked to be left alone for a while: i-1, i-2", explain_line(timeline, timeline.end)
        )
        attempt = next(log_line for log_line in timeline.own if log_line.event == "attempt")
        self.assertIn("i-2 turned it away", explain_line(timeline, attempt))

    def test_limits_that_were_reached_are_named_as_they_were_then(self) -> None:
        lines = (
            format_line("e", 3.0, "target_limit", target="i-1", limit_per_s=1.2, before='""'),
            format_line("e", 3.1, "target_limit_heard", target="i-2", limit_per_s=2.5, by="f"),
            format_line("e", 3.1, "target_limit", target="i-3", limit_per_s=4.0, before='""'),
            format_line("e", 3.2, "target_limit", target="i-3", limit_per_s='""', before=4.0),
            format_line("e", 3.3, "refused", request="r6", status=503, reason="target_limit"),
            format_line("e", 3.4, "target_limit", target="i-1", limit_per_s=9.0, before=1.2),
        )
        timeline = self.timeline("r6", entry=lines)
        assert timeline.end is not None
        self.assertIn(
            "limit: i-1 1.2 a second, i-2 2.5 a second", explain_line(timeline, timeline.end)
        )

    def test_a_lack_of_groups_names_the_last_one_of_the_model(self) -> None:
        refusal = format_line(
            *("e", 4.0, "refused"),
            request="r3",
            status=503,
            reason="no_group",
            model="m",
            view="1/8",
        )
        refused_timeline = self.timeline(
            "r3", entry=(refusal,), holder=LOST_GROUP_LINES[:1] + LOST_GROUP_LINES[2:3]
        )
        self.assertEqual(
            [], [log_line for log_line in refused_timeline.lines if log_line.event == "engine_lost"]
        )
        assert refused_timeline.end is not None
        # The clock of the holder is 5 s ahead, which MAX_CLOCK_SKEW_S allows for.
        self.assertIn(
            "no group of m served, by view 1/8",
            explain_line(refused_timeline, refused_timeline.end),
        )

    def test_the_command_prints_text_or_json_and_fails_for_an_unknown_request(self) -> None:
        paths = [
            str(log_path) for log_path in self.logs(entry=ENTRY_LINES, holder=LOST_GROUP_LINES)
        ]
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
        fingerprint_field = {"fingerprint": "f1"}
        first = format_line(
            *("e", 1.0, "attempt"),
            request="r0",
            target="i-1",
            reason="target_failed",
            **fingerprint_field,
        )
        other = format_line(
            *("d", 2.0, "attempt"), request="r9", target="i-7", reason="target_failed"
        )
        fatal = format_line("d", 30.0, "request_fatal", targets="i-1,i-2,i-3", **fingerprint_field)
        refused = format_line(
            *("e", 55.0, "refused"),
            request="r1",
            status=503,
            reason="ends_targets",
            **fingerprint_field,
        )
        timeline = self.timeline("r1", e=(first, refused), d=(other, fatal))
        self.assertEqual(
            ["attempt", "request_fatal", "refused"], [line.event for line in timeline.lines]
        )
        end = timeline.end
        assert end is not None
        explanation = explain_line(timeline, end)
        self.assertIn("i-1,i-2,i-3 ended while they ran what it asks for (f1)", explanation)
        self.assertIn("in 1 tries", explanation)

    def test_a_request_with_a_part_that_ends_targets_names_part_and_targets(self) -> None:
        fatal = format_line(
            *("d", 30.0, "part_fatal"), cause="part:p2@large", targets="i-1,i-2,i-3"
        )
        other = format_line("d", 31.0, "part_fatal", cause="part:p9", targets="i-7")
        for reason, text in (
            (
                "prompt_part_ends_targets",
                "i-1,i-2,i-3 ended under requests with the part p2",
            ),
            ("may_end_targets", "a part of its prompt (p1, p2) may end targets"),
        ):
            refused = format_line(
                *("e", 55.0, "refused"), request="r1", status=503, reason=reason, parts="p1,p2"
            )
            timeline = self.timeline("r1", e=(refused,), d=(fatal, other))
            self.assertEqual(["part_fatal", "refused"], [line.event for line in timeline.lines])
            end = timeline.end
            assert end is not None
            self.assertIn(text, explain_line(timeline, end))

    def test_a_fingerprint_names_every_try(self) -> None:
        tries = [
            format_line(
                "e", 1.0 + n, "refused", request=f"r{n}", fingerprint="f1", reason="queue_full"
            )
            for n in range(3)
        ]
        other = format_line(
            "e", 2.5, "refused", request="r9", fingerprint="f2", reason="queue_full"
        )
        timeline = self.timeline("f1", e=(*tries, other))
        self.assertEqual(["r0", "r1", "r2"], [line.get("request") for line in timeline.own])
