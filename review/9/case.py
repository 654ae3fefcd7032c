"""An assigner that is killed and started again hands slices over without waiting for its former proxies."""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin2"))
from writers import Deployment, EndpointStatus, free_port, reactor, trouble

SLICES = 36
PROXIES = 24
KILL_AT_S = 10.0
WORK_S = 0.3  # BRIEF, lisboa-main: a write takes 240 to 330 ms of work on the average.
END_S = 22.0
INI = f"""
[deployment]
name = ledgers
zones = one, two
assigners = 2
proxies = {PROXIES}
slices = {SLICES}
single_writer = yes

[channel]
lines_per_s = 8000
head_lines = 8
limit = 12000
delay_s = 0.2
delay_max_s = 0.7

[reports]
period_s = 0.5
lines_per_s = 300
names = rif

[probes]
allowed = yes

[rules]
drain_grace_s = 3
cold_from = 0.3
warm_within_s = 10
fall_multiple = 3
fall_s = 1.5
bare_s = 6

[charge]
takeover_s = 2.5
write_lease_s = 1.5

[class read]
effect = repeatable
aim_s = 0.6
deadline_s = 3
worth = 1

[class post]
effect = once
aim_s = 1.2
deadline_s = 4
worth = 6
"""


def script(deployment: Deployment) -> None:
    """Play the events of the case."""
    deployment.draws_work = True
    for server_id in range(6):
        deployment.add_server(server_id, zone=server_id % 2)
    deployment.list.start(deployment.list_port)
    for server_id in deployment.servers:
        deployment.list_server(server_id)
    store_port, assigner_ports = free_port(), [free_port(), free_port()]
    tables = Path(deployment.work.name) / "tables.jsonl"
    rows = []
    for slice_id in range(SLICES):
        server = deployment.servers[(slice_id // 2) % len(deployment.servers)]
        rows.append({"slice": slice_id, "server": server.server_id, "address": server.address})
    tables.write_text("".join(json.dumps(row) + "\n" for row in rows))
    deployment.spawn("store-0", f"\n[store]\nlisten = 127.0.0.1:{store_port}\nstart_tables = {tables}\n")
    for k in range(2):
        deployment.spawn(
            f"assigner-{k}",
            f"\n[assigner]\nid = {k}\nzone = {k}\nlisten = 127.0.0.1:{assigner_ports[k]}\n"
            f"store = 127.0.0.1:{store_port}\nlist = 127.0.0.1:{deployment.list_port}\n",
        )
    for k in range(PROXIES):
        near = [*assigner_ports, store_port]
        port = free_port()
        deployment.spawn(
            f"proxy-{k}",
            f"\n[proxy]\nid = {k}\nzone = {k % 2}\nlisten = 127.0.0.1:{port}\n"
            f"assigners = 127.0.0.1:{near[0]}, 127.0.0.1:{near[1]}\nstore = 127.0.0.1:{near[2]}\n",
        )
        reactor.callLater(4.0, deployment.connect_client, k, port)
    reactor.callLater(5.0, deployment.send_requests)
    # One of six servers drains: a rolling deploy takes up to 18% of the fleet at a time.
    reactor.callLater(KILL_AT_S + 0.1, deployment.list_server, 0, EndpointStatus.DRAINING)
    if trouble():
        reactor.callLater(KILL_AT_S, restart, deployment)


def restart(deployment: Deployment) -> None:
    """Kill one assigner of two, and start it again at once."""
    process = deployment.processes.pop("assigner-0")
    process.kill()
    process.wait()
    deployment.record("assigner-0 was killed")
    deployment.respawn("assigner-0")


if __name__ == "__main__":
    stand = Deployment(
        Path(__file__).resolve().parent, INI, slices=SLICES, work_s=WORK_S, requests_per_s=300.0
    )
    sys.exit(stand.run(script, END_S))
