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

SLACK = timedelta(minutes=5)  # clocks may differ so much


class KeyFailure(Exception):
    """A key or certificate can't be made; the text says why. Nothing is overwritten."""


def party(role: str, number: int, deployment: str) -> str:
    """The name in a party's certificate."""
    return f"{role}-{number}.{deployment}.puffintide"


def _write(path: Path, data: bytes, secret: bool) -> None:
    """A new file; one that is there is never overwritten."""
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600 if secret else 0o644)
    except FileExistsError:
        raise KeyFailure(f"{path} is there already; move it away first") from None
    except OSError as error:
        raise KeyFailure(f"{path}: {error.strerror}") from None
    with os.fdopen(fd, "wb") as file:
        file.write(data)


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    plain = serialization.NoEncryption()
    return key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, plain)


def make_authority(folder: Path, days: float = 365) -> None:
    """ca.pem and ca.key in the folder."""
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
        .not_valid_before(now - SLACK)
        .not_valid_after(now + timedelta(days=days))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    _write(folder / "ca.key", _key_bytes(key), secret=True)
    _write(folder / "ca.pem", certificate.public_bytes(serialization.Encoding.PEM), secret=False)


def make_certificate(folder: Path, name: str, days: float = 90) -> None:
    """NAME.pem and NAME.key, signed by the folder's authority. Negative days make one that has expired."""
    try:
        signer = serialization.load_pem_private_key((folder / "ca.key").read_bytes(), None)
        authority = x509.load_pem_x509_certificate((folder / "ca.pem").read_bytes())
    except (OSError, ValueError) as error:
        raise KeyFailure(f"{folder}: no authority here: {error}") from None
    if not isinstance(signer, ec.EllipticCurvePrivateKey):
        raise KeyFailure(f"{folder / 'ca.key'}: not a key of this kind")
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.now(UTC)
    begin = now - SLACK if days > 0 else now + timedelta(days=days) - SLACK
    certificate = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
        .issuer_name(authority.subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(begin)
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
