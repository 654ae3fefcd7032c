"""Creates a development authority and the certificates of a deployment's processes, with `cryptography`.

The certificate of a process contains one DNS name, ROLE-ID.DEPLOYMENT.puffintide, and is valid for both ends
of a stream. In production, the operator's own authority issues certificates with the same names.
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

MAX_CLOCK_SKEW = timedelta(minutes=5)  # Certificates are valid from this long before their creation.
PRIVATE_FILE_MODE = 0o600
PUBLIC_FILE_MODE = 0o644


def certificate_name(role: str, peer_id: int, deployment: str) -> str:
    """Return the DNS name in the certificate of a process, such as proxy 3."""
    return f"{role}-{peer_id}.{deployment}.puffintide"


def _write_new_file(path: Path, data: bytes, secret: bool) -> None:
    """Write a new file; an existing file is an error. A secret file is readable by its owner only."""
    mode = PRIVATE_FILE_MODE if secret else PUBLIC_FILE_MODE
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    except FileExistsError as error:
        raise KeyCreationError(
            f"cannot create {path}: the file already exists; move it away first"
        ) from error
    except OSError as error:
        raise KeyCreationError(f"cannot create {path}: {error.strerror}") from error
    with os.fdopen(fd, "wb") as file:
        file.write(data)


def _encode_private_key(key: ec.EllipticCurvePrivateKey) -> bytes:
    unencrypted = serialization.NoEncryption()
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, unencrypted)


def create_authority(folder: Path, days: float = 365) -> None:
    """Create ca.pem and ca.key in a folder.

    Args:
        folder: Folder of the new files, which is created if it does not exist.
        days: Validity of the certificate in days.

    Raises:
        KeyCreationError: A file already exists or cannot be written.
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
        .not_valid_before(now - MAX_CLOCK_SKEW)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    _write_new_file(folder / "ca.key", _encode_private_key(key), secret=True)
    _write_new_file(folder / "ca.pem", certificate.public_bytes(serialization.Encoding.PEM), secret=False)


def create_certificate(folder: Path, name: str, days: float = 90) -> None:
    """Create NAME.pem and NAME.key, signed by the authority in the folder.

    Args:
        folder: Folder that contains ca.pem and ca.key.
        name: DNS name of the certificate, see certificate_name.
        days: Validity of the certificate in days; negative for an expired certificate.

    Raises:
        KeyCreationError: The authority cannot be loaded, or a file already exists or cannot be written.
    """
    try:
        signer = serialization.load_pem_private_key((folder / "ca.key").read_bytes(), None)
        authority = x509.load_pem_x509_certificate((folder / "ca.pem").read_bytes())
    except (OSError, ValueError) as error:
        raise KeyCreationError(f"cannot load the certificate authority from {folder}: {error}") from error
    if not isinstance(signer, ec.EllipticCurvePrivateKey):
        raise KeyCreationError(
            f"cannot sign with {folder / 'ca.key'}: {type(signer).__name__} is not an elliptic curve key"
        )
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.now(UTC)
    valid_from = now - MAX_CLOCK_SKEW if days > 0 else now + timedelta(days=days) - MAX_CLOCK_SKEW
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
    _write_new_file(folder / f"{name}.key", _encode_private_key(key), secret=True)
    _write_new_file(
        folder / f"{name}.pem", certificate.public_bytes(serialization.Encoding.PEM), secret=False
    )
