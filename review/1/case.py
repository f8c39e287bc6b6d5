"""The seeds are exchanged, then two machines of the core are replaced one after the other."""

from __future__ import annotations

import asyncio
import functools
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from fleet import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, Fleet, Record, run_case  # noqa: E402
from peers import Provider, Server, call, manifest, page_of, request, send_manifest  # noqa: E402

MACHINES = 6
CORE = 3
OTHER_SEEDS = (4, 5, 6)  # They serve control and have no disk, like the second node of each zone.
REPLACED = {1: 7, 2: 8}  # The machine that leaves, and the one that takes over from it.
OVERLAP_S = 2.0  # x of replace_core: the new machine comes first.
BETWEEN_S = 16.0  # Over catch_up_s and contact_ms.
READ_S = 6.0  # The operator reads for contact_ms at least.
REQUESTS_PER_S = 10


async def main(folder: Path, record: Record) -> int:
    fleet = Fleet(folder, record, MACHINES, CORE)
    servers = [
        Server(record, f"i-{number}", "orders", f"sve-{zone}", (fleet.ip(100 + number), 8080))
        for number, zone in enumerate("abc", start=1)
    ]
    await Provider(record, functools.partial(page_of, servers)).start(fleet.provider)
    for server in servers:
        await server.start()
    fleet.start()
    machines = list(range(1, 2 * CORE + 1))
    answers: list[tuple[float, int]] = []

    async def traffic() -> None:
        for number in range(1, 1_000_000):
            sent = record.now()
            # Machines that stay.
            front = fleet.front(3 + number % 4)
            status, _, _ = await request(record, front, f"{number:016x}")
            answers.append((sent, status))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def controls() -> list[tuple[str, int]]:
        return [fleet.control(machine) for machine in machines]

    acknowledged = 0
    try:
        if await send_manifest(record, controls(), manifest(1), 15.0) is None:
            return COULD_NOT_RUN
        await asyncio.sleep(5.0)
        clients = asyncio.ensure_future(traffic())
        if TROUBLE:
            fleet.exchange_seeds(OTHER_SEEDS)
        await asyncio.sleep(4.0)
        for version, (old, new) in enumerate(REPLACED.items(), start=2):
            document = manifest(version)
            if await send_manifest(record, controls(), document, 5.0) is None:
                return COULD_NOT_RUN
            acknowledged = version
            fleet.add_core_machine(new)
            machines.append(new)
            await asyncio.sleep(OVERLAP_S)
            machines.remove(old)
            await fleet.remove_machine(old)
            await asyncio.sleep(BETWEEN_S)
        last = record.now()
        await send_manifest(record, controls(), manifest(9), 5.0)
        read, until = 0, record.now() + READ_S
        while not read and record.now() < until:
            for address in controls():
                status, _, body = await call(address, "GET", "/v1/Config.Read", timeout_s=1.0)
                record.add("read", at=address[0], status=status)
                if status == 200:
                    read = json.loads(body)["version"]
            await asyncio.sleep(0.2)
        clients.cancel()
    finally:
        await fleet.stop()
    final = [status == 200 for sent, status in answers if sent > last]
    record.add("result", acknowledged=acknowledged, read=read, served=sum(final), of=len(final))
    print(f"version {acknowledged} was acknowledged, {read or 'none'} is read back; at the end "
          f"{sum(final)} of {len(final)} requests served")
    return HELD if read >= acknowledged else BROKEN


run_case(FOLDER, main)
