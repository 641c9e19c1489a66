# SPDX-License-Identifier: Apache-2.0
"""A batch: the messages of one tick, behind their sender's configuration version."""

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
    """Hold what one websocket message carries."""

    version: Version
    messages: tuple[object, ...]


class PreparedMessage:
    """Hold a message that goes to several processes, whose fields are taken apart only once."""

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
    """Return a batch as CBOR; messages may be ``PreparedMessage``."""
    return cbor2.dumps([version, [_encode_item(each) for each in messages]])


def _encode_item(message: object) -> list[Any]:
    return message.fields if isinstance(message, PreparedMessage) else _encode_fields(message)


def _encode_fields(message: object) -> list[Any]:
    return [TAGS[type(message)], *to_fields(message)]


def decode_batch(content: bytes) -> Batch:
    """Read a batch.

    Raises:
        BatchInvalid: when it is not CBOR, or a message is unknown or of the wrong shape.
    """
    try:
        version, items = cbor2.loads(content)
        return Batch(Version(int(version)), tuple(_decode_message(item) for item in items))
    except (cbor2.CBORDecodeError, CodecError, ValueError, TypeError, EOFError) as error:
        raise BatchInvalid(str(error)) from error


def _decode_message(item: list[Any]) -> object:
    message_type = MESSAGES.get(item[0])
    if message_type is None:
        raise BatchInvalid(f"unknown message {item[0]}")
    return from_fields(message_type, item[1:])


__all__ = ["MAX_BATCH_BYTES", "Batch", "PreparedMessage", "decode_batch", "encode_batch"]
