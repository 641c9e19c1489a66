# SPDX-License-Identifier: Apache-2.0
"""An ordinary request at one listener, from which the shapes of a crowd are derived."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Ask:
    """Hold what a listener's ordinary clients send."""

    host: str = "127.0.0.1"
    method: str = "GET"
    path: str = "/"
    headers: tuple[tuple[str, str], ...] = ()

    def line(self) -> bytes:
        """Return the request line."""
        return f"{self.method} {self.path} HTTP/1.1\r\n".encode()

    def head(self, more: bytes = b"", ends: bool = True) -> bytes:
        """Return the head with more lines, and the empty line if it ``ends``."""
        pairs = (("Host", self.host), *self.headers)
        lines = "".join(f"{name}: {value}\r\n" for name, value in pairs)
        return self.line() + lines.encode() + more + (b"\r\n" if ends else b"")

    def whole(self, body: bytes = b"", more: bytes = b"") -> bytes:
        """Return a whole request with a body of known length."""
        return self.head(more + b"Content-Length: %d\r\n" % len(body)) + body

    def changed(self, **fields: str) -> "Ask":
        """Return the request with another host, method or path."""
        return replace(self, **fields)  # type: ignore[arg-type]

    def with_header(self, name: str, value: str) -> "Ask":
        """Return the request with another value of a header."""
        kept = tuple(each for each in self.headers if each[0] != name)
        return replace(self, headers=(*kept, (name, value)))


__all__ = ["Ask"]
