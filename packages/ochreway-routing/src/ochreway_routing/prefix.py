# SPDX-License-Identifier: Apache-2.0
"""Chained hashes of a prompt's leading blocks.

Two prompts share a cached prefix up to their last common hash, so a partial match counts. Scoring
the overlap by block, and reading no more of a body than needed, follows "We fight GPU scarcity
without compromise".
"""

import xxhash

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
MAX_BLOCKS = 64
"""Bound on the leading blocks that are hashed."""


def prompt_block_hashes(target: str, prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's complete leading blocks.

    Args:
        target: the model's name, part of the hash as caches are not shared between models.
        prompt: the prompt's bytes as the engine would see them.
    """
    chain = xxhash.xxh64_intdigest(target.encode())
    hashes = []
    block_count = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for index in range(block_count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        chain = xxhash.xxh64_intdigest(block, seed=chain)
        hashes.append(chain)
    return tuple(hashes)


__all__ = ["MAX_BLOCKS", "BLOCK_BYTES", "BLOCK_TOKENS", "prompt_block_hashes"]
