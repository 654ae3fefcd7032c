"""Entry point of `python -m puffintide.platform`: runs an assigner of the platform in the foreground."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from puffintide.platform.config import Address, Config
    from puffintide.platform.log import Log

EXIT_CONFIG_ERROR = 2  # The configuration is invalid, or its listen address cannot be used.


def main() -> int:
    """Run an assigner until SIGTERM, and return the exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # Ignored until the service has started.
    # Prevents Twisted from loading TLS, which is not used and would take a quarter of the smallest memory
    # limit.
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
    from puffintide.platform.config import load_config
    from puffintide.platform.errors import ConfigError
    from puffintide.platform.log import EventLog

    path = os.environ.get("GW_CONFIG", "")
    try:
        if not path:
            raise ConfigError("GW_CONFIG: environment variable is not set")
        config = load_config(path)
    except ConfigError as error:
        print(f"puffintide: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    log = EventLog(config.name)
    _log_ignored_addresses(config, path, log)
    return _run(config, path, log)


def _log_ignored_addresses(config: Config, path: str, log: Log) -> None:
    """Log addresses in the environment that are ignored because they differ from those in the file."""
    for variable, address in (("GW_LISTEN", config.listen), ("GW_DISCOVERY", config.discovery)):
        text = os.environ.get(variable, "")
        difference = _address_difference(variable, text, address) if text else ""
        if difference:
            log(
                "environment_ignored",
                variable=variable,
                reason=f"{difference}; using the address from {path}",
            )


def _address_difference(variable: str, text: str, address: Address) -> str:
    from puffintide.platform.config import parse_address
    from puffintide.platform.errors import ConfigError

    try:
        parsed = parse_address(text, variable)
    except ConfigError as error:
        return str(error)
    return "" if parsed == address else f"{text!r} differs from {address[0]}:{address[1]}"


def _run(config: Config, path: str, log: Log) -> int:
    from twisted.internet.error import CannotListenError

    from puffintide.platform.service import Service
    from puffintide.protocol.clock import monotonic_reactor

    _log_handler_failures(log)
    reactor = monotonic_reactor()
    service = Service(reactor, config, path, log)
    try:
        service.start()
    except CannotListenError as error:
        print(f"puffintide: cannot listen on {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: reactor.callFromThread(service.stop))
    gc.collect()
    gc.freeze()  # Excludes the loaded modules, which stay in memory, from garbage collection.
    reactor.run(installSignalHandlers=False)
    return 0


def _log_handler_failures(log: Log) -> None:
    """Log exceptions raised by handlers, upon which Twisted closes their connections."""
    from twisted.logger import globalLogBeginner

    from puffintide.platform.rounds import error_location

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            error = failure.value
            log("handler_failed", error=f"{type(error).__name__}: {error}", location=error_location(error))

    globalLogBeginner.beginLoggingTo([cast(Any, observe)], redirectStandardIO=False, discardBuffer=True)


if __name__ == "__main__":
    sys.exit(main())
