# SPDX-License-Identifier: Apache-2.0
"""Mutual TLS for links; both ends have certificates of the same authority."""

import ssl

from ochreway_daemon.settings import CommonSettings


def server_context(settings: CommonSettings) -> ssl.SSLContext | None:
    """Return the context for accepted links, or None without TLS settings."""
    return _context(settings, ssl.PROTOCOL_TLS_SERVER)


def client_context(settings: CommonSettings) -> ssl.SSLContext | None:
    """Return the context for dialled links, or None without TLS settings."""
    context = _context(settings, ssl.PROTOCOL_TLS_CLIENT)
    if context is not None:
        # Instances are dialled by address; the link handshake verifies the name of the peer.
        context.check_hostname = False
    return context


def _context(settings: CommonSettings, protocol: int) -> ssl.SSLContext | None:
    if not settings.tls_certificate:
        return None
    context = ssl.SSLContext(protocol)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    context.load_verify_locations(settings.tls_authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


__all__ = ["client_context", "server_context"]
