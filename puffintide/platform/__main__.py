"""python -m puffintide.platform: one real assigner of the platform, in the foreground."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import Any, cast


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    # No TLS here: what Twisted would load for it is a fourth of the least memory.
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
    from puffintide.platform.config import ConfigError, address, load
    from puffintide.platform.log import Log

    path = os.environ.get("GW_CONFIG", "")
    try:
        if not path:
            raise ConfigError("GW_CONFIG: not set")
        config = load(path)
    except ConfigError as error:
        print(f"puffintide: {error}", file=sys.stderr)
        return 2
    log = Log(config.name)
    for variable, held in (("GW_LISTEN", config.listen), ("GW_DISCOVERY", config.discovery)):
        told = os.environ.get(variable, "")
        try:
            if told and address(told, variable) != held:
                raise ConfigError(f"{told!r} is not what {path} says; the file holds")
        except ConfigError as error:
            log("environment_ignored", variable=variable, reason=str(error))

    from twisted.internet.error import CannotListenError

    from puffintide.platform.service import Service
    from puffintide.protocol.clock import monotonic_reactor

    _log_failures(log)
    reactor = monotonic_reactor()
    service = Service(reactor, config, path, log)
    try:
        service.start()
    except CannotListenError as error:
        print(f"puffintide: listen {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 2
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(service.reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.stop))
    gc.collect()
    gc.freeze()  # what is loaded stays: the collector need not look at it
    reactor.run(installSignalHandlers=False)
    return 0


def _log_failures(log: Any) -> None:
    """What fails inside a handler ends its connection, by Twisted; here it is told, with its place."""
    from twisted.logger import globalLogBeginner

    from puffintide.platform.service import place

    def observe(event: Any) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            error = failure.value
            log("handler_failed", error=f"{type(error).__name__}: {error}", place=place(error))

    globalLogBeginner.beginLoggingTo([cast(Any, observe)], redirectStandardIO=False, discardBuffer=True)


if __name__ == "__main__":
    sys.exit(main())
