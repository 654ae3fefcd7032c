"""TLS contexts that follow their files: a new certificate holds for the next stream, and no stream is dropped."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from cryptography import x509
from OpenSSL import SSL
from twisted.internet.interfaces import IOpenSSLContextFactory, ISSLTransport
from zope.interface import implementer


class TlsError(Exception):
    """The files can't be used; the text says which and why."""


@implementer(IOpenSSLContextFactory)
class Contexts:
    """getContext() as Twisted asks for it, at each new stream. Both ends show a certificate of the same authority.

    A file that changed and can't be used is told to `warn`, and the last good context stays.
    """

    def __init__(self, ca: str, cert: str, key: str, warn: Callable[[str], None] = lambda text: None) -> None:
        self.files = (ca, cert, key)
        self.warn = warn
        self._stamp: object = self._read_stamp()
        self._context = self._make()

    def _read_stamp(self) -> object:
        try:
            return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in map(os.stat, self.files))
        except OSError as error:
            return str(error)

    def _make(self) -> SSL.Context:
        ca, cert, key = self.files
        for path in self.files:
            try:
                with open(path, "rb"):
                    pass
            except OSError as error:
                raise TlsError(f"{path}: {error.strerror}") from None
        context = SSL.Context(SSL.TLS_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        steps: list[tuple[str, Callable[[], None]]] = [
            (ca, lambda: context.load_verify_locations(ca)),
            (cert, lambda: context.use_certificate_chain_file(cert)),
            (key, lambda: context.use_privatekey_file(key)),
            (key, context.check_privatekey),
        ]
        for path, take in steps:
            try:
                take()
            except SSL.Error as error:
                words = "; ".join(str(row[-1]) for row in (error.args[0] if error.args else [])) or "unusable"
                raise TlsError(f"{path}: {words}") from None
        context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *args: bool(args[-1]))
        context.set_session_cache_mode(SSL.SESS_CACHE_OFF)  # a resumed session would not be checked anew
        return context

    def getContext(self) -> SSL.Context:
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            try:
                self._context = self._make()
            except TlsError as error:
                self.warn(str(error))
        return self._context


def names(transport: Any) -> set[str] | None:
    """The DNS names in the peer's certificate; None on a stream without TLS."""
    if not ISSLTransport.providedBy(transport):
        return None
    shown = transport.getPeerCertificate()
    if shown is None:
        return set()
    certificate = shown.to_cryptography()
    try:
        found = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return set()
    return set(found.value.get_values_for_type(x509.DNSName))
