"""Tests of the assigner as a separate process."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.platform_config import CONFIG

pytestmark = pytest.mark.processes


def process_config() -> dict[str, Any]:
    """Return a configuration with free ports, where neither discovery nor the relay is listening."""
    ports = []
    for _ in range(3):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            ports.append(f"127.0.0.1:{listener.getsockname()[1]}")
    return CONFIG | {"listen": ports[0], "discovery": ports[1], "store": {"address": ports[2]}}


AUDIT_SCRIPT = """
import os, signal, sys, threading
operations = set()
def hook(name, args):
    if name == "socket.__new__":
        operations.add(f"{args[1]}/{args[2] & 0xf}")
    elif name.startswith(("os.fork", "os.exec", "os.posix_spawn", "os.system", "subprocess", "socket.getaddrinfo")):
        operations.add(name)
sys.addaudithook(hook)
for call in ("sendfile", "splice"):
    setattr(os, call, lambda *a, call=call: operations.add(call))
import puffintide.platform.__main__ as main
threading.Timer(2.0, os.kill, (os.getpid(), signal.SIGHUP)).start()
threading.Timer(2.5, os.kill, (os.getpid(), signal.SIGTERM)).start()
assert main.main() == 0
libc = any("libc.so" in line for line in open("/proc/self/maps"))
print(*sorted(operations), "libc" if libc else "static")
"""


def test_run_starts_no_process_resolves_no_name_and_opens_only_ipv4_sockets(tmp_path: Path) -> None:
    """Covers a start, a rejected reload with a host name as an address, and SIGTERM."""
    path, config = tmp_path / "config.json", process_config()
    path.write_text(json.dumps(config))
    env = {**os.environ, "GW_CONFIG": str(path)}
    assigner = subprocess.Popen(
        [sys.executable, "-c", AUDIT_SCRIPT], env=env, text=True, stdout=-1, stderr=-1
    )
    assert assigner.stderr is not None
    assert any('"started"' in line for line in iter(assigner.stderr.readline, ""))
    path.write_text(json.dumps(config | {"discovery": "discovery.invalid:8500"}))
    out, err = assigner.communicate(timeout=20)
    assert '"reload_rejected"' in err
    assert "host 'discovery.invalid' is not an IPv4 address" in err
    assert out.split() == [f"{int(socket.AF_INET)}/{int(socket.SOCK_STREAM)}", "libc"]


def test_run_imports_only_twisted_h11_msgspec_and_the_standard_library(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(process_config()))
    code = (
        "import os, signal, sys, threading\n"
        "import puffintide.platform.__main__ as main\n"
        "threading.Timer(1.5, os.kill, (os.getpid(), signal.SIGTERM)).start()\n"
        "assert main.main() == 0\n"
        "print(*{m.split('.')[0] for m, it in sys.modules.items() if it} - set(sys.stdlib_module_names))\n"
    )
    env = {**os.environ, "GW_CONFIG": str(path)}
    completed = subprocess.run(
        [sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True
    )
    allowed = {"__main__", "puffintide", "twisted", "h11", "msgspec"}
    # Dependencies of Twisted.
    allowed |= {
        "attr",
        "attrs",
        "constantly",
        "incremental",
        "typing_extensions",
        "zope",
        "automat",
        "hyperlink",
    }
    imported = set(completed.stdout.split())
    assert {"twisted", "msgspec"} <= imported
    assert {name for name in imported if not name.startswith("_")} <= allowed


def test_process_reports_unusable_configuration_and_address_and_ends_on_sigterm(tmp_path: Path) -> None:
    def start(path: str) -> subprocess.Popen[str]:
        env = {**os.environ, "GW_CONFIG": path}
        return subprocess.Popen(
            [sys.executable, "-m", "puffintide.platform"], env=env, stderr=subprocess.PIPE, text=True
        )

    invalid = start(str(tmp_path / "none.json"))
    assert invalid.wait(20) == 2
    assert invalid.stderr is not None
    assert invalid.stderr.read().count("\n") == 1
    path = tmp_path / "config.json"
    path.write_text(json.dumps(process_config()))
    assigner = start(str(path))
    assert assigner.stderr is not None
    assert any('"started"' in line for line in iter(assigner.stderr.readline, ""))
    second = start(str(path))
    assert second.stderr is not None
    assert second.wait(20) == 2
    assert "cannot listen on 127.0.0.1" in second.stderr.read()
    second.stderr.close()
    assigner.send_signal(signal.SIGHUP)
    assert any('"reloaded"' in line for line in iter(assigner.stderr.readline, ""))
    assigner.send_signal(signal.SIGTERM)
    assert assigner.wait(5) == 0
    assigner.stderr.close()
    if invalid.stderr is not None:
        invalid.stderr.close()
