# SPDX-License-Identifier: Apache-2.0
import testtools
from click.testing import CliRunner

from ochreway_cli.porcelain import new_keys
from ochreway_daemon.main import main

GOOD = {
    "OCHREWAY_NAME": "entry-1",
    "OCHREWAY_LINK_KEY": "a-long-enough-key",
    "OCHREWAY_OPERATOR_KEY": f"bo={new_keys().public}",
    "OCHREWAY_OPERATOR_TOKEN": "the-token",
}


class SettingsTests(testtools.TestCase):
    def run_with(self, *arguments: str, **changed: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, list(arguments), env={**GOOD, **changed})
        return done.exit_code, done.output

    def test_check_prints_what_is_in_force_with_secrets_hidden(self) -> None:
        code, output = self.run_with("entry", "--check")
        self.assertEqual(0, code)
        self.assertIn("name=entry-1", output)
        self.assertIn("link_key=(hidden)", output)
        self.assertNotIn("the-token", output)

    def test_every_fault_is_reported_at_once(self) -> None:
        code, output = self.run_with(
            "entry",
            "--check",
            OCHREWAY_NAME="",
            OCHREWAY_LINK_KEY="short",
            OCHREWAY_HTTP_LISTEN="nowhere",
            OCHREWAY_PLATFORM_URL="ftp://x",
            OCHREWAY_OPERATOR_KEY="bo=%%",
            OCHREWAY_DRAIN_TIMEOUT_S="-1",
        )
        self.assertEqual(2, code)
        flags = ("--name", "--link-key", "--http-listen", "--platform-url", "--operator-key")
        for flag in (*flags, "--drain-timeout-s"):
            self.assertIn(flag, output)
        self.assertNotIn("short", output)

    def test_tls_takes_all_three(self) -> None:
        code, output = self.run_with("agent", "--check", "--tls-certificate", "pyproject.toml")
        self.assertEqual(2, code)
        self.assertIn("all three or none", output)

    def test_help_names_every_flag_and_variable(self) -> None:
        for role in ("entry", "agent"):
            output = self.run_with(role, "--help")[1]
            for flag in ("--link-key", "OCHREWAY_LINK_KEY", "--statsd", "--key-memory-s"):
                self.assertIn(flag, output)
