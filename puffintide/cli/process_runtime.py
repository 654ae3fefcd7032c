"""Functions with which every process listens, runs on the reactor, and ends."""

from __future__ import annotations

import signal
import socket
import sys
from collections.abc import Callable
from typing import Any, NoReturn, cast

from twisted.internet.error import CannotListenError
from twisted.protocols.tls import TLSMemoryBIOFactory

from puffintide.config.model import Config
from puffintide.logs import Logger
from puffintide.tls.context import TlsContextFactory
from puffintide.tls.errors import TlsError

LISTEN_BACKLOG = 2000
EXIT_INVALID_INPUT = 2


def exit_with_error(text: str) -> NoReturn:
    """End the process with one line on stderr and exit code 2."""
    print(f"puffintide: {text}", file=sys.stderr)
    sys.exit(EXIT_INVALID_INPUT)


def tls_contexts(config: Config, log: Logger) -> TlsContextFactory | None:
    """Create the source of TLS contexts from a configuration's [tls] section.

    Invalid files end the process.

    Returns:
        The source of TLS contexts, or None if the configuration has no [tls] section.
    """
    if config.tls is None:
        return None
    try:
        return TlsContextFactory(
            config.tls.ca,
            config.tls.cert,
            config.tls.key,
            warn=lambda text: log.warning("certificate_load_failed", reason=text),
        )
    except TlsError as error:
        exit_with_error(f"{config.path}: [tls] {error}")


def _listen_shared(reactor: Any, host: str, port: int, factory: Any, tls: TlsContextFactory | None) -> Any:
    """Listen on a port that several processes share; the kernel distributes connections among them."""
    listener = socket.socket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
        listener.setblocking(False)
        if tls is not None:
            factory = TLSMemoryBIOFactory(cast(Any, tls), False, factory)
        return reactor.adoptStreamPort(listener.fileno(), socket.AF_INET, factory)
    except OSError as error:
        raise CannotListenError(host, port, error) from error  # type: ignore[no-untyped-call]
    finally:
        listener.close()  # The reactor has duplicated the file descriptor.


def listen(
    reactor: Any, address: str, factory: Any, tls: TlsContextFactory | None = None, shared: bool = False
) -> Any:
    """Listen on HOST:PORT, and return the listening port. A failure ends the process."""
    host, _, port = address.rpartition(":")
    try:
        if shared:
            return _listen_shared(reactor, host, int(port), factory, tls)
        if tls is None:
            return reactor.listenTCP(int(port), factory, LISTEN_BACKLOG, host)
        return reactor.listenSSL(int(port), factory, tls, LISTEN_BACKLOG, host)
    except CannotListenError as error:
        exit_with_error(f"cannot listen on {address}: {error.socketError}")


def run_reactor(reactor: Any, shut_down: Callable[[Callable[[], None]], None] | None = None) -> None:
    """Print "ready", and run the reactor until SIGTERM or Ctrl-C.

    Args:
        reactor: The reactor, which does not run yet.
        shut_down: Called at SIGTERM; must call its argument once the service has stopped. None stops the
            reactor at once.
    """

    def stop() -> None:
        if reactor.running:
            reactor.stop()

    def on_sigterm() -> None:
        if shut_down is None:
            stop()
        else:
            shut_down(stop)

    def set_handler() -> None:
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(on_sigterm))

    set_handler()
    reactor.callWhenRunning(set_handler)  # The reactor sets its own handler as it starts.
    print("ready", flush=True)
    reactor.run()
