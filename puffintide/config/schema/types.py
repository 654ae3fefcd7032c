"""Types of the values in configuration files."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field

PORT_LIMIT = 65536
LOOPBACK_PREFIX = "127."


def split_words(value: object) -> object:
    """Words parted by commas, as a list."""
    if not isinstance(value, str):
        return value
    return [word.strip() for word in value.split(",") if word.strip()]


def check_address(value: str) -> str:
    """HOST:PORT on loopback.

    Raises:
        ValueError: It is not.
    """
    host, _, port = value.rpartition(":")
    if host not in ("127.0.0.1", "localhost") and not host.startswith(LOOPBACK_PREFIX):
        raise ValueError("must be HOST:PORT on loopback (127.x.x.x or localhost)")
    if not port.isdigit() or not 0 <= int(port) < PORT_LIMIT:
        raise ValueError("must end in a port from 0 to 65535")
    return value


def parse_curve(value: object) -> object:
    """Points TIME:LEVEL, parted by commas, in order of time.

    Raises:
        ValueError: It is something else.
    """
    if not isinstance(value, str):
        return value
    points = []
    for word in value.split(","):
        time_s, colon, level = word.partition(":")
        if not colon:
            raise ValueError("must be points TIME:LEVEL, parted by commas")
        points.append((float(time_s), float(level)))
    times_s = [time_s for time_s, _ in points]
    if times_s != sorted(times_s):
        raise ValueError("times must rise")
    return points


Names = Annotated[list[str], BeforeValidator(split_words)]
Ints = Annotated[list[int], BeforeValidator(split_words)]
Floats = Annotated[list[float], BeforeValidator(split_words)]
Address = Annotated[str, AfterValidator(check_address)]
Addresses = Annotated[list[Address], BeforeValidator(split_words)]
Curve = Annotated[list[tuple[float, float]], BeforeValidator(parse_curve)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=65535)]


class Section(BaseModel):
    """A section of a file; the fields are its keys. Unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)
