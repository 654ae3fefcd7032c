"""Runs the processes of a deployment: assigner, store and proxy."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from puffintide.cli.process_runtime import exit_with_error, listen, run_reactor, tls_contexts
from puffintide.config.model import Config
from puffintide.config.schema import StoreProcess
from puffintide.logs import setup
from puffintide.protocol.clock import monotonic_reactor

if TYPE_CHECKING:
    from puffintide.replication.table_restore import TableRestore
    from puffintide.store.engine import StorageEngine, StoreSnapshot
    from puffintide.store.ownership import OwnershipLedger

MAX_BACKUP_NAME_LENGTH = 100


def run_assigner(config: Config, incarnation: int) -> None:
    """Run an assigner until it is stopped.

    Args:
        config: Configuration with an [assigner] section.
        incarnation: Incarnation of this assigner; 0 means the time in seconds.
    """
    from puffintide.assigner.service import AssignerService

    assert config.assigner is not None
    reactor = monotonic_reactor()
    log = setup(f"assigner-{config.assigner.id}", config.assigner.log, config.assigner.level)
    tls = tls_contexts(config, log)
    service = AssignerService(reactor, config, log, incarnation or int(time.time()), tls)
    listen(reactor, config.assigner.listen, service.factory(), tls)
    log.info("started", life=service.incarnation, listen=config.assigner.listen)
    service.start()
    run_reactor(reactor)
    log.info("stopped")


def _backup_path(folder: str, name: str) -> str:
    """Return the path of a backup.

    Raises:
        ValueError: The name is not a valid name of a file in the folder.
    """
    if not name or name.startswith(".") or "/" in name or len(name) > MAX_BACKUP_NAME_LENGTH:
        raise ValueError(
            f"backup {name[:MAX_BACKUP_NAME_LENGTH]!r}: must be a file name of 1 to {MAX_BACKUP_NAME_LENGTH} "
            "characters, without '/' and not starting with '.'"
        )
    return str(Path(folder) / name)


def _storage_engine(config: Config, process: StoreProcess) -> StorageEngine:
    """Create the storage engine that a store is configured with."""
    from puffintide.store.memory import MemoryEngine
    from puffintide.store.sqlite import SqliteEngine

    if process.file:
        return SqliteEngine(process.file)
    if process.etcd:
        from puffintide.store.etcd.client import read_credentials
        from puffintide.store.etcd.engine import EtcdEngine

        credentials = read_credentials(config.tls) if config.tls else None
        return EtcdEngine(process.etcd, config.deployment.name, credentials=credentials)
    return MemoryEngine()


def _load_tables(
    config: Config, process: StoreProcess, ledger: OwnershipLedger
) -> tuple[StorageEngine, StoreSnapshot]:
    """Open the storage engine, and load its contents into the ledger. A failure ends the process."""
    from puffintide.store.errors import StoreError
    from puffintide.store.initial_tables import read_initial_tables

    try:
        engine = _storage_engine(config, process)
        snapshot = engine.load()
        ledger.restore(snapshot)
        if process.start_tables and not snapshot.slices:
            ledger.load_tables(read_initial_tables(process.start_tables, config.deployment.slices))
    except StoreError as error:
        exit_with_error(str(error))
    return engine, snapshot


def _ownership_ledger(config: Config, now_s: float) -> OwnershipLedger:
    from puffintide.store.ownership import OwnershipLedger

    deployment = config.deployment
    return OwnershipLedger(
        deployment.slices,
        deployment.assigners,
        config.charge.takeover_s,
        deployment.single_writer,
        opened_at_s=now_s,
        max_transfers_per_s=config.charge.moves_per_s,
    )


def _table_restore(config: Config, process: StoreProcess) -> TableRestore | None:
    """Create the restore of an empty store from the assigners' replicas, or None if it is not configured."""
    from puffintide.replication.table_restore import TableRestore

    if not process.refill:
        return None
    return TableRestore(config.deployment.slices, config.deployment.assigners, process.refill_wait_s)


def run_store(config: Config) -> None:
    """Run the store until it is stopped or superseded by another store process."""
    from functools import partial

    from twisted.internet.defer import maybeDeferred
    from twisted.internet.threads import deferToThreadPool
    from twisted.python.threadpool import ThreadPool

    from puffintide.store.service import StoreService

    assert config.store is not None
    process = config.store
    reactor = monotonic_reactor()
    log = setup("store", process.log, process.level)
    ledger = _ownership_ledger(config, reactor.seconds())
    engine, snapshot = _load_tables(config, process, ledger)
    pool = ThreadPool(1, 1, "engine")  # One thread executes the engine's calls in sequence.
    service = StoreService(
        reactor,
        ledger,
        config.deployment.name,
        log,
        engine,
        snapshot,
        len(config.deployment.zones),
        run=partial(deferToThreadPool, reactor, pool) if process.file or process.etcd else maybeDeferred,
        max_streams=process.streams_most,
        backup_path=partial(_backup_path, process.backups) if process.file and process.backups else None,
        table_restore=_table_restore(config, process),
    )
    listen(reactor, process.listen, service.factory(), tls_contexts(config, log))
    storage = {"file": process.file, "identity": snapshot.store_id, "revision": snapshot.revision}
    log.info("started", slices=len(snapshot.slices), **storage)
    reactor.callWhenRunning(pool.start)
    reactor.addSystemEventTrigger("during", "shutdown", pool.stop)
    service.start()
    run_reactor(reactor)
    engine.close()
    if service.superseded:
        exit_with_error(f"store {process.listen}: superseded by another store process")


def run_proxy(config: Config) -> None:
    """Run a proxy until it is stopped, and shut it down gracefully."""
    from puffintide.proxy.service import ProxyService

    assert config.proxy is not None
    process = config.proxy
    reactor = monotonic_reactor()
    log = setup(f"proxy-{process.id}", process.log, process.level)
    tls = tls_contexts(config, log)
    service = ProxyService(reactor, config, process, log, tls)
    shared = process.shared_port
    service.listening_ports.append(listen(reactor, process.listen, service.factory(), tls, shared))
    if service.http_proxy is not None:
        http_factory = service.http_proxy.factory()
        service.listening_ports.append(listen(reactor, process.http, http_factory, tls, shared))
    service.start()
    run_reactor(reactor, service.stop)
