"""Defines the types of the values in configuration files."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field

PORT_LIMIT = 65536
LOOPBACK_PREFIX = "127."


def split_words(value: object) -> object:
    """Split a comma-separated text into a list; return any other value unchanged."""
    if not isinstance(value, str):
        return value
    return [word.strip() for word in value.split(",") if word.strip()]


def check_address(value: str) -> str:
    """Return the value if it is HOST:PORT on loopback.

    Raises:
        ValueError: The host is not on loopback, or the port is invalid.
    """
    host, _, port = value.rpartition(":")
    if host not in ("127.0.0.1", "localhost") and not host.startswith(LOOPBACK_PREFIX):
        raise ValueError(f"address {value!r} must be HOST:PORT on loopback (127.x.x.x or localhost)")
    if not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        raise ValueError(f"address {value!r} must end in a port from 0 to 65535")
    return value


def parse_curve(value: object) -> object:
    """Parse comma-separated points TIME:LEVEL in ascending order of time; return any other value unchanged.

    Raises:
        ValueError: A point is malformed, or the times are not in ascending order.
    """
    if not isinstance(value, str):
        return value
    points = []
    for word in value.split(","):
        time_s, colon, level = word.partition(":")
        if not colon:
            raise ValueError("must be comma-separated points TIME:LEVEL")
        points.append((float(time_s), float(level)))
    times_s = [time_s for time_s, _ in points]
    if times_s != sorted(times_s):
        raise ValueError("times must be in ascending order")
    return points


Names = Annotated[list[str], BeforeValidator(split_words)]
Ints = Annotated[list[int], BeforeValidator(split_words)]
Floats = Annotated[list[float], BeforeValidator(split_words)]
Address = Annotated[str, AfterValidator(check_address)]
Addresses = Annotated[list[Address], BeforeValidator(split_words)]
Curve = Annotated[list[tuple[float, float]], BeforeValidator(parse_curve)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NonNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=65535)]


class Section(BaseModel):
    """Section of a configuration file. The fields are its keys; an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)
