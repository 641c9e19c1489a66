# SPDX-License-Identifier: Apache-2.0
"""Chained hashes of a prompt's leading blocks.

Two prompts share a cached prefix up to the last hash that they share, so a partial match
counts. The idea of scoring overlap by block, and of reading no more of a body than needed,
is from "We fight GPU scarcity without compromise".
"""

import xxhash

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
MAX_BLOCKS = 64


def prompt_block_hashes(target: str, prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's whole leading blocks.

    Args:
        target: the model's name; another model's cache is of no use.
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
