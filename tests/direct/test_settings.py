# SPDX-License-Identifier: Apache-2.0
import testtools
from click.testing import CliRunner

from ochreway_daemon.main import main

GOOD = {
    "OCHREWAY_NAME": "entry-1",
    "OCHREWAY_ADAPTER": "some_adapter",
    "OCHREWAY_LINK_KEY": "a-long-enough-key",
    "OCHREWAY_PEER": "127.0.0.1:1,127.0.0.1:2",
}


class SettingsTests(testtools.TestCase):
    def run_with(self, **changed: str) -> tuple[int, str]:
        done = CliRunner().invoke(main, ["direct", "--check"], env={**GOOD, **changed})
        return done.exit_code, done.output

    def test_check_prints_what_is_in_force_with_secrets_hidden(self) -> None:
        code, output = self.run_with()
        self.assertEqual(0, code)
        self.assertIn("peer=('127.0.0.1:1', '127.0.0.1:2')", output)
        self.assertNotIn("a-long-enough-key", output)

    def test_every_fault_is_reported_at_once(self) -> None:
        code, output = self.run_with(
            OCHREWAY_NAME="",
            OCHREWAY_ADAPTER="",
            OCHREWAY_LINK_KEY="short",
            OCHREWAY_CALLER_LISTEN="nowhere",
            OCHREWAY_PLATFORM_URL="ftp://x",
            OCHREWAY_PEER="a,b",
            OCHREWAY_GRACE_S="-1",
            OCHREWAY_KEY_REVOKE_MS="0",
            OCHREWAY_LOG_LEVEL="loud",
            OCHREWAY_WITHOUT="trading,magic",
            OCHREWAY_HALL_REGIONS="h1=r1,h2",
            OCHREWAY_MIN_GROUPS="-1",
        )
        self.assertEqual(2, code)
        flags = ("name", "adapter", "link-key", "caller-listen", "platform-url", "peer", "grace-s")
        for flag in (*flags, "key-revoke-ms", "log-level", "without", "hall-regions", "min-groups"):
            self.assertIn(f"--{flag}: ", output)
        self.assertNotIn("short", output)

    def test_each_hall_is_given_one_region(self) -> None:
        for bad in ("h1", "=r1", "h1=", "h1=r1,,h2", "h1=r1,h1=r2", "h1=r1,h1=r1"):
            code, output = self.run_with(OCHREWAY_HALL_REGIONS=bad)
            self.assertEqual(2, code, bad)
            self.assertIn("--hall-regions: ", output)
        for good in ("", "h1=r1", "h1=r1,h2=r1,h3=r2"):
            self.assertEqual(0, self.run_with(OCHREWAY_HALL_REGIONS=good)[0], good)
