"""The provider's list holds one entry of another writer, a field of which is not of the usual type."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Fleet, Record, run_case  # noqa: E402
from peers import Provider, Server, manifest, page_of, request, send_manifest  # noqa: E402

MACHINES = 6
CORE = 3
WATCHED_S = 30.0
REQUESTS_PER_S = 20
MAX_ENDS = 3  # Fault: a process ends by itself three times,
MAX_MACHINES = 2  # on a tenth of the machines in use, two at least, or on half of the core.


async def main(folder: Path, record: Record) -> int:
    fleet = Fleet(folder, record, MACHINES, CORE)
    servers = [
        Server(record, f"i-{number}", "orders", f"sve-{zone}", (fleet.ip(100 + number), 8080))
        for number, zone in enumerate("abc", start=1)
    ]
    # A start time that is a whole number, but not one of 64 bits.
    other = {**servers[0].entry(), "id": "i-9", "address": "{}:8080".format(fleet.ip(109))}
    other["born"] = 1_764_900_000_000_000_000_000_000
    others: list[bytes] = []
    provider = Provider(record, lambda: page_of(servers, *others))
    await provider.start(fleet.provider)
    for server in servers:
        await server.start()
    fleet.start()
    served = sent = 0
    try:
        controls = [fleet.control(number) for number in range(1, 2 * CORE + 1)]
        if await send_manifest(record, controls, manifest(1), 15.0) is None:
            return COULD_NOT_RUN
        await asyncio.sleep(5.0)
        before = sum(len(process.ends) for process in fleet.processes)
        if TROUBLE:
            others.append(json.dumps(other).encode())
            record.add("entry_listed", entry=others[0].decode())
        until = record.now() + WATCHED_S
        while record.now() < until:
            sent += 1
            status, _, _ = await request(record, fleet.front(1 + sent % MACHINES), f"{sent:016x}")
            served += status == 200
            await asyncio.sleep(1 / REQUESTS_PER_S)
        logs = "".join(process.log_text() for process in fleet.processes)
    finally:
        await fleet.stop()
    ends = {process.name: len(process.ends) for process in fleet.processes if process.ends}
    often = {process.machine for process in fleet.processes if len(process.ends) >= MAX_ENDS}
    core = {machine for machine in often if machine <= CORE}
    errors = sorted({line.strip(" |") for line in logs.splitlines() if "Error: " in line})
    record.add("result", sent=sent, served=served, ends=ends, errors=errors[:3])
    print(f"{served} of {sent} requests served; processes that ended by themselves: {ends} {errors[:3]}")
    if before or served < sent / 2:
        return COULD_NOT_RUN
    return BROKEN if len(often) >= MAX_MACHINES or 2 * len(core) >= CORE else HELD


run_case(FOLDER, main)
