# SPDX-License-Identifier: Apache-2.0
"""Parsing of the fields of a completion request that the system needs."""

import json
from dataclasses import dataclass
from typing import Any

from ochreway_daemon.errors import CallerFault

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """Fields of a body that routing and limits need; the engine receives the original bytes."""

    model: str
    prompt: bytes
    stream: bool
    max_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return an estimate of the number of prompt tokens."""
        return max(1, len(self.prompt) // BYTES_PER_TOKEN)


def parse_completion(raw: bytes, chat: bool) -> CompletionBody:
    """Parse the body of a completion request.

    Raises:
        CallerFault: if it is not JSON, or a field is missing or of the wrong type.
    """
    try:
        content = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise CallerFault(f"the body is not JSON: {error}") from error
    if not isinstance(content, dict):
        raise CallerFault("the body must be a JSON object")
    return CompletionBody(
        model=_get_field(content, "model", str, None),
        prompt=_chat_prompt(content) if chat else _get_field(content, "prompt", str, None).encode(),
        stream=_get_field(content, "stream", bool, False),
        max_tokens=_parse_max_tokens(content),
    )


def _get_field(content: dict[str, Any], name: str, expected_type: type, default: Any) -> Any:
    value = content.get(name, default)
    if type(value) is not expected_type:
        raise CallerFault(f"{name} must be given as {expected_type.__name__}")
    return value


def _parse_max_tokens(content: dict[str, Any]) -> int:
    requested = content.get("max_completion_tokens", content.get("max_tokens", DEFAULT_MAX_TOKENS))
    if type(requested) is not int or requested < 1:
        raise CallerFault("max_tokens must be a whole number above 0")
    return requested


def _chat_prompt(content: dict[str, Any]) -> bytes:
    messages = content.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallerFault("messages must be a list with at least one message")
    return b"\n".join(_encode_message(each) for each in messages)


def _encode_message(message: Any) -> bytes:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise CallerFault("each message must be an object with a role")
    text = message.get("content")
    if not isinstance(text, str):
        text = json.dumps(text)
    return f"{message['role']}:{text}".encode()


__all__ = ["CompletionBody", "parse_completion"]
