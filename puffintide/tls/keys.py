"""A development authority and certificates of a deployment's parties, by `cryptography`.

A party's certificate carries one DNS name, ROLE-ID.DEPLOYMENT.puffintide, and serves both ends of a stream. In
production these come from the operator's own authority with the same names.
"""

from __future__ import annotations

import os
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from puffintide.tls.errors import KeyCreationError

MAX_CLOCK_DIFFERENCE = timedelta(minutes=5)
PRIVATE_FILE_MODE = 0o600
PUBLIC_FILE_MODE = 0o644


def certificate_name(role: str, party_id: int, deployment: str) -> str:
    """The DNS name in the certificate of a party, such as proxy 3."""
    return f"{role}-{party_id}.{deployment}.puffintide"


def _write(path: Path, data: bytes, secret: bool) -> None:
    """Write a new file; an existing one is never overwritten."""
    mode = PRIVATE_FILE_MODE if secret else PUBLIC_FILE_MODE
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    except FileExistsError as error:
        raise KeyCreationError(f"{path} is there already; move it away first") from error
    except OSError as error:
        raise KeyCreationError(f"{path}: {error.strerror}") from error
    with os.fdopen(fd, "wb") as file:
        file.write(data)


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    unencrypted = serialization.NoEncryption()
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, unencrypted)


def create_authority(folder: Path, days: float = 365) -> None:
    """Create ca.pem and ca.key in a folder.

    Args:
        folder: Created if there is none.
        days: How long the certificate is valid.

    Raises:
        KeyCreationError: A file exists already, or can't be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "puffintide development authority")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - MAX_CLOCK_DIFFERENCE)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    _write(folder / "ca.key", _key_bytes(key), secret=True)
    _write(folder / "ca.pem", certificate.public_bytes(serialization.Encoding.PEM), secret=False)


def create_certificate(folder: Path, name: str, days: float = 90) -> None:
    """Create NAME.pem and NAME.key, signed by the authority in the folder.

    Args:
        folder: With ca.pem and ca.key.
        name: DNS name of the certificate, see certificate_name.
        days: How long it is valid; negative: it has expired.

    Raises:
        KeyCreationError: There is no usable authority, or a file exists already.
    """
    try:
        signer = serialization.load_pem_private_key((folder / "ca.key").read_bytes(), None)
        authority = x509.load_pem_x509_certificate((folder / "ca.pem").read_bytes())
    except (OSError, ValueError) as error:
        raise KeyCreationError(f"{folder}: no authority here: {error}") from error
    if not isinstance(signer, ec.EllipticCurvePrivateKey):
        raise KeyCreationError(f"{folder / 'ca.key'}: not a key of this kind")
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.now(UTC)
    valid_from = now - MAX_CLOCK_DIFFERENCE if days > 0 else now + timedelta(days=days) - MAX_CLOCK_DIFFERENCE
    certificate = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
        .issuer_name(authority.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(valid_from)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .add_extension(
            x509.ExtendedKeyUsage([ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]),
            critical=False,
        )
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .sign(signer, hashes.SHA256())
    )
    _write(folder / f"{name}.key", _key_bytes(key), secret=True)
    _write(folder / f"{name}.pem", certificate.public_bytes(serialization.Encoding.PEM), secret=False)
