"""TLS contexts that are reloaded when their files change, without closing open streams."""

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


def _accept_openssl_result(*arguments: Any) -> bool:
    """Return the result of OpenSSL's own verification; used as its verification callback."""
    return bool(arguments[-1])


@implementer(IOpenSSLContextFactory)
class TlsContextFactory:
    """Provides Twisted with the context of each new stream.

    Both peers must present a certificate of the same authority.

    Args:
        ca: Path of the authority's certificate, in PEM format.
        cert: Path of this process's certificate chain, in PEM format.
        key: Path of this process's private key, in PEM format.
        warn: Called with an error text if changed files cannot be loaded; the last valid context stays.

    Raises:
        TlsError: A file cannot be loaded at the start.
    """

    def __init__(self, ca: str, cert: str, key: str, warn: Callable[[str], None] = _ignore_warning) -> None:
        self.ca = ca
        self.cert = cert
        self.key = key
        self.warn = warn
        self._file_state: object = self._read_file_state()
        self._context = self._load()

    def _read_file_state(self) -> object:
        """Return a value that differs from the previous one if one of the files has changed."""
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
        _load_file(self.ca, lambda: context.load_verify_locations(self.ca))
        _load_file(self.cert, lambda: context.use_certificate_chain_file(self.cert))
        _load_file(self.key, lambda: context.use_privatekey_file(self.key))
        _load_file(self.key, context.check_privatekey)
        context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, _accept_openssl_result)
        context.set_session_cache_mode(SSL.SESS_CACHE_OFF)  # A resumed session would skip verification.
        return context

    def getContext(self) -> SSL.Context:
        """Return the context of the next stream, after reloading changed files."""
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
        raise TlsError(f"cannot read {path}: {error.strerror}") from error


def _load_file(path: str, load: Callable[[], object]) -> None:
    try:
        load()
    except SSL.Error as error:
        reasons = error.args[0] if error.args else []
        text = "; ".join(str(reason[-1]) for reason in reasons)
        raise TlsError(f"cannot load {path}: {text or 'OpenSSL reported no reason'}") from error


def peer_dns_names(transport: Any) -> set[str] | None:
    """Return the DNS names in the peer's certificate; None for a stream without TLS."""
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
