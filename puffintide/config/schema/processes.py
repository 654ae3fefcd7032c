"""Sections that describe one process each. Times are in seconds."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, model_validator

from puffintide.config.schema.types import Address, Addresses, Amount, Count, Positive, Section, check_address


class Process(Section):
    """What the sections of all processes have."""

    log: str = ""  # a file; empty: stderr
    level: Literal["debug", "info", "warning", "error"] = "info"


class AssignerProcess(Process):
    """[assigner]: one assigner."""

    id: int = Field(ge=0)
    zone: int = Field(default=0, ge=0)
    listen: Address
    store: Address
    list: Address
    list_cache: str = ""  # a file that caches the endpoint list; empty: none
    seed: int = 1
    tick_s: Positive = 0.02


class ProxyProcess(Process):
    """[proxy]: one proxy."""

    id: int = Field(ge=0, lt=65535)
    zone: int = Field(default=0, ge=0)
    listen: Address  # of the program's own protocol
    assigners: Addresses = Field(min_length=1)  # of all, in order of id
    store: Address
    state: str = ""  # a file for the tables as last received; empty: none
    connect_s: Positive = 0.25
    reserve_s: Amount = 0.015  # the final response is sent so long before the client's deadline
    held_most: Count = 2000  # requests queued for a server
    open_most: Count = 20000  # requests in flight or queued
    clients_most: Count = 2000  # connections
    http: str = ""  # HOST:PORT for HTTP clients; empty: none
    head_most: Count = 16384  # bytes of a request's or a response's head
    body_most: int = Field(default=8 << 20, ge=0)  # bytes of a request's body
    replay_most: int = Field(default=65536, ge=0)  # bytes of a body buffered for a retry
    head_s: Positive = 5.0  # for a head to be received, and for a client to read what is sent
    idle_s: Positive = 30.0  # a connection without a request is closed
    pool_most: Count = 100  # connections to one server
    access_every: int = Field(default=0, ge=0)  # one request in so many is logged; 0: none
    shared_port: bool = False  # several proxies, each with its own id, share one port

    @model_validator(mode="after")
    def _loopback(self) -> ProxyProcess:
        if self.http:
            check_address(self.http)
        return self


class StoreProcess(Process):
    """[store]: the store of tables and ownership."""

    listen: Address
    file: str = ""  # of the database; empty: in memory, lost at the end
    etcd: Addresses = Field(default=[])  # members of a cluster, in place of a file
    backups: str = ""  # a folder for backups; empty: none can be made
    streams_most: Count = 5000
    refill: bool = False  # an empty store restores its tables from the assigners' replicas
    refill_wait_s: Positive = 5.0  # after the first answer it goes on with more than half of them

    @model_validator(mode="after")
    def _one(self) -> StoreProcess:
        if self.file and self.etcd:
            raise ValueError("file and etcd are both there; one is allowed")
        if self.refill and self.start_tables:
            raise ValueError("refill and start_tables are both there; one is allowed")
        return self

    start_tables: str = ""  # a file of initial tables, JSON lines of SliceOwnership


class OperatorSection(Section):
    """[operator]: whom an operator's commands connect to."""

    store: Address
    assigners: Addresses = Field(default=[])
    id: int = Field(default=0, ge=0)


class Tls(Section):
    """[tls]: files in PEM. With it every stream of the process is TLS, both ends showing a certificate."""

    ca: str
    cert: str
    key: str
