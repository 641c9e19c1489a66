# SPDX-License-Identifier: Apache-2.0
"""What a heartbeat reports of refused requests."""

from dataclasses import dataclass

from ochreway_core.ids import Fingerprint


@dataclass(frozen=True, slots=True)
class Refusals:
    """Report requests that the sender refused as not run, so that their returns are known.

    The three tuples have one item for each refusal, in order: the fingerprint as bytes, how long
    ago it was refused, and how long from then its caller may return.
    """

    fingerprints: tuple[bytes, ...] = ()
    ages_ms: tuple[int, ...] = ()
    left_ms: tuple[int, ...] = ()

    def items(self) -> list[tuple[Fingerprint, float, float]]:
        """Return the fingerprint, the age and the time left of each refusal, in seconds."""
        return [
            (Fingerprint(fingerprint.hex()), max(0, age_ms) / 1000.0, left_ms / 1000.0)
            for fingerprint, age_ms, left_ms in zip(
                self.fingerprints, self.ages_ms, self.left_ms, strict=False
            )
        ]


NO_REFUSALS = Refusals()


__all__ = ["NO_REFUSALS", "Refusals"]
