"""TLS contexts that follow their files: a new certificate holds for the next stream, and no stream is dropped."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from cryptography import x509
from OpenSSL import SSL
from twisted.internet.interfaces import IOpenSSLContextFactory, ISSLTransport
from zope.interface import implementer

from puffintide.tls.errors import TlsError


def _ignore_warning(_text: str) -> None:
    pass


def _keep_verdict(*arguments: Any) -> bool:
    """Verification callback: accept what OpenSSL accepts."""
    return bool(arguments[-1])


@implementer(IOpenSSLContextFactory)
class TlsContextFactory:
    """Gives Twisted the context of each new stream. Both ends show a certificate of the same authority.

    Args:
        ca: File of the authority's certificate, PEM.
        cert: File of the own certificate chain, PEM.
        key: File of the own private key, PEM.
        warn: Called with a text when a file has changed and can't be used; the last good context remains.

    Raises:
        TlsError: A file can't be used at the start.
    """

    def __init__(self, ca: str, cert: str, key: str, warn: Callable[[str], None] = _ignore_warning) -> None:
        self.ca = ca
        self.cert = cert
        self.key = key
        self.warn = warn
        self._file_state: object = self._read_file_state()
        self._context = self._load()

    def _read_file_state(self) -> object:
        """Changes whenever one of the files does."""
        try:
            stats = [os.stat(path) for path in (self.ca, self.cert, self.key)]
        except OSError as error:
            return str(error)
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)

    def _load(self) -> SSL.Context:
        for path in (self.ca, self.cert, self.key):
            _require_readable(path)
        context = SSL.Context(SSL.TLS_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        _use_file(self.ca, lambda: context.load_verify_locations(self.ca))
        _use_file(self.cert, lambda: context.use_certificate_chain_file(self.cert))
        _use_file(self.key, lambda: context.use_privatekey_file(self.key))
        _use_file(self.key, context.check_privatekey)
        context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, _keep_verdict)
        context.set_session_cache_mode(SSL.SESS_CACHE_OFF)  # a resumed session would not be verified anew
        return context

    def getContext(self) -> SSL.Context:
        """The context of the next stream."""
        file_state = self._read_file_state()
        if file_state != self._file_state:
            self._file_state = file_state
            try:
                self._context = self._load()
            except TlsError as error:
                self.warn(str(error))
        return self._context


def _require_readable(path: str) -> None:
    try:
        with open(path, "rb"):
            pass
    except OSError as error:
        raise TlsError(f"{path}: {error.strerror}") from error


def _use_file(path: str, use: Callable[[], object]) -> None:
    try:
        use()
    except SSL.Error as error:
        reasons = error.args[0] if error.args else []
        text = "; ".join(str(reason[-1]) for reason in reasons)
        raise TlsError(f"{path}: {text or 'unusable'}") from error


def peer_dns_names(transport: Any) -> set[str] | None:
    """The DNS names in the peer's certificate; None on a stream without TLS."""
    if not ISSLTransport.providedBy(transport):
        return None
    peer_certificate = transport.getPeerCertificate()
    if peer_certificate is None:
        return set()
    extensions = peer_certificate.to_cryptography().extensions
    try:
        names = extensions.get_extension_for_class(x509.SubjectAlternativeName)
    except x509.ExtensionNotFound:
        return set()
    return set(names.value.get_values_for_type(x509.DNSName))
