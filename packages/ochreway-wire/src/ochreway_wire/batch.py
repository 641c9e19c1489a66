# SPDX-License-Identifier: Apache-2.0
"""Batches: the messages of one tick, preceded by the sender's configuration version."""

from dataclasses import dataclass
from typing import Any

import cbor2

from ochreway_core.codec import from_fields, to_fields
from ochreway_core.errors import CodecError
from ochreway_core.ids import Version
from ochreway_core.message import MESSAGES, TAGS
from ochreway_wire.errors import BatchInvalid

MAX_BATCH_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Batch:
    """Content of one websocket message."""

    version: Version
    messages: tuple[object, ...]


class PreparedMessage:
    """Message for several processes, whose fields are encoded only once."""

    __slots__ = ("_fields", "_message")

    def __init__(self, message: object) -> None:
        self._message = message
        self._fields: list[Any] | None = None

    @property
    def fields(self) -> list[Any]:
        """Return the message's tag and plain fields."""
        if self._fields is None:
            self._fields = _encode_fields(self._message)
        return self._fields


def encode_batch(version: Version, messages: list[object]) -> bytes:
    """Encode a batch as CBOR; messages may be instances of ``PreparedMessage``."""
    return cbor2.dumps([version, [_encode_item(each) for each in messages]])


def _encode_item(message: object) -> list[Any]:
    return message.fields if isinstance(message, PreparedMessage) else _encode_fields(message)


def _encode_fields(message: object) -> list[Any]:
    return [TAGS[type(message)], *to_fields(message)]


def decode_batch(content: bytes) -> Batch:
    """Decode a batch.

    Raises:
        BatchInvalid: if it is not CBOR, or a message has an unknown tag or invalid fields.
    """
    try:
        version, items = cbor2.loads(content)
        return Batch(Version(int(version)), tuple(_decode_message(item) for item in items))
    except (cbor2.CBORDecodeError, CodecError, ValueError, TypeError, EOFError) as error:
        raise BatchInvalid(str(error)) from error


def _decode_message(item: list[Any]) -> object:
    message_type = MESSAGES.get(item[0])
    if message_type is None:
        raise BatchInvalid(f"unknown message tag {item[0]}")
    return from_fields(message_type, item[1:])


__all__ = ["MAX_BATCH_BYTES", "Batch", "PreparedMessage", "decode_batch", "encode_batch"]
