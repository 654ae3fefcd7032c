"""Defines the sections that describe one process each. Times are in seconds."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, model_validator

from puffintide.config.schema.types import (
    Address,
    Addresses,
    Count,
    NonNegative,
    Positive,
    Section,
    check_address,
)


class Process(Section):
    """Keys that the sections of all processes have."""

    log: str = ""  # Path of the log file; empty means stderr.
    level: Literal["debug", "info", "warning", "error"] = "info"


class AssignerProcess(Process):
    """[assigner]: settings of one assigner."""

    id: int = Field(ge=0)
    zone: int = Field(default=0, ge=0)
    listen: Address
    store: Address
    list: Address
    list_cache: str = ""  # Path of a file that caches the endpoint list; empty means no cache.
    seed: int = 1
    tick_s: Positive = 0.02


class ProxyProcess(Process):
    """[proxy]: settings of one proxy."""

    id: int = Field(ge=0, lt=65535)
    zone: int = Field(default=0, ge=0)
    listen: Address  # Address for clients that speak the program's own protocol.
    assigners: Addresses = Field(min_length=1)  # Addresses of all assigners, in the order of their ids.
    store: Address
    state: str = ""  # Path of a file that keeps the tables as last received; empty means none.
    connect_s: Positive = 0.25  # Timeout of a connection attempt to a server, in seconds.
    # Time before the client's deadline at which the final response is sent, in seconds.
    reserve_s: NonNegative = 0.015
    held_most: Count = 2000  # Maximum number of requests queued for a server.
    open_most: Count = 20000  # Maximum number of requests in flight or queued.
    clients_most: Count = 2000  # Maximum number of client connections.
    http: str = ""  # HOST:PORT for HTTP clients; empty means none.
    head_most: Count = 16384  # Maximum size of the head of a request or response, in bytes.
    fields_most: Count = 100  # Maximum number of header fields, and of trailer fields, of a request.
    body_most: int = Field(default=8 << 20, ge=0)  # Maximum size of a request's body, in bytes.
    # Maximum size of a body that is buffered for a retry, in bytes.
    replay_most: int = Field(default=65536, ge=0)
    # Timeout for receiving a head, and for a client to read what is sent to it, in seconds.
    head_s: Positive = 5.0
    idle_s: Positive = 30.0  # Time after which a connection without a request is closed, in seconds.
    pool_most: Count = 100  # Maximum number of connections to one server.
    access_every: int = Field(default=0, ge=0)  # One in this number of requests is logged; 0 means none.
    shared_port: bool = False  # Whether several proxies, each with its own id, share one port.

    @model_validator(mode="after")
    def _check_http(self) -> ProxyProcess:
        if self.http:
            check_address(self.http)
        return self


class StoreProcess(Process):
    """[store]: settings of the store of tables and ownership."""

    listen: Address
    # Path of the database; empty means in memory, where data is lost at the end of the process.
    file: str = ""
    etcd: Addresses = Field(default=[])  # Addresses of the members of an etcd cluster that replaces the file.
    backups: str = ""  # Path of a folder for backups; empty means that no backups can be made.
    streams_most: Count = 5000  # Maximum number of streams.
    refill: bool = False  # Whether an empty store restores its tables from the assigners' replicas.
    # Time in seconds to wait for further assigners after the first complete answer. After it, the restore uses
    # the answers received so far, once more than half of the assigners have answered.
    refill_wait_s: Positive = 5.0

    @model_validator(mode="after")
    def _check_alternatives(self) -> StoreProcess:
        if self.file and self.etcd:
            raise ValueError(
                f"file = {self.file!r} and etcd = {', '.join(self.etcd)!r} are mutually exclusive"
            )
        if self.refill and self.start_tables:
            raise ValueError(f"refill and start_tables = {self.start_tables!r} are mutually exclusive")
        return self

    start_tables: str = ""  # Path of a file of initial tables: JSON lines of SliceOwnership.


class OperatorSection(Section):
    """[operator]: addresses that an operator's commands connect to."""

    store: Address
    assigners: Addresses = Field(default=[])
    id: int = Field(default=0, ge=0)


class Tls(Section):
    """[tls]: PEM files. With this section all streams use TLS, and both ends present a certificate."""

    ca: str
    cert: str
    key: str
