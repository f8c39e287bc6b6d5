"""Two machines of the core are replaced one after the other, and control is lost for good."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from small import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Deployment,
    Node,
    Record,
    call,
    client_headers,
    manifest,
    new_id,
    route,
    run,
    service,
)

# Seconds from the start of the first new machine. That one has had catch_up_s (4 s) when the machine
# that it replaces gets SIGTERM, so the removed machine does not count as lost. Then another machine
# is gone for good, and an empty one comes 2 s later. At no time more than one counts as lost.
FIRST_STOPS_S, SECOND_GONE_S, SECOND_COMES_S = 4.2, 6.0, 8.0
GRACE_S = 8.0
# The core has been stable, and its new machines have caught up, long before the operator reads.
READ_AFTER_S = 25.0
READ_FOR_S = 30.0


def add_machine(deployment: Deployment, number: int) -> list[Node]:
    """Return the processes of a new machine, which start at another address with empty disks."""
    ip = f"{deployment.subnet}.{10 + number}"
    nodes = [Node(deployment, role, ip, number) for role in ("control", "entry")]
    for node in nodes:
        node.starts = 1  # The deployment has been started before.
    return nodes


async def remove(nodes: list[Node]) -> None:
    """Stop the processes of a machine for good, as the platform does."""
    for node in nodes:
        node.send(signal.SIGTERM)
    for node in nodes:
        assert node.process is not None
        try:
            async with asyncio.timeout(GRACE_S):
                await node.process.wait()
        except TimeoutError:
            await node.kill()


async def ask(deployment: Deployment, record: Record, entry: Node, number: int) -> int:
    name = new_id()
    headers = client_headers(name, 1500)
    answer = await call(entry.address("front"), "POST", f"/order/{number}", headers, b"x")
    record.write(f"client sent {name} to {entry.ip}: {answer.status or answer.reason}")
    return answer.status


async def case(deployment: Deployment, record: Record) -> int:
    deployment.server("orders", "i-1")
    deployment.server("orders", "i-2")
    await deployment.start()
    sent = manifest(
        7, [route("r-1", "/order/", "non_idempotent", "orders", 1500)], [service("orders")]
    )
    if not await deployment.replace(sent) or not await deployment.ready(deployment.entries):
        raise CannotRunError("the manifest is not in force")
    await asyncio.sleep(6.0)
    before = [await ask(deployment, record, entry, 0) for entry in deployment.entries]
    if before != [200, 200, 200]:
        raise CannotRunError("nothing is served in calm")
    old = [
        [deployment.control[number], deployment.entries[number]] for number in range(3)
    ]  # By machine.
    running = list(old)
    began_s = time.monotonic()

    async def at(seconds: float) -> None:
        await asyncio.sleep(max(0.0, began_s + seconds - time.monotonic()))

    removals = []
    if TROUBLE:
        first, second = add_machine(deployment, 4), add_machine(deployment, 5)
        deployment.added = [*first, *second]
        record.write("a new machine comes for the first one")
        for node in first:
            await node.start()
        await at(FIRST_STOPS_S)
        removals.append(asyncio.create_task(remove(old[0])))
        await at(SECOND_GONE_S)
        record.write("the second machine is gone for good")
        for node in old[1]:
            await node.kill()
        await at(SECOND_COMES_S)
        for node in second:
            node.seeds = [machine[0].address("control") for machine in (old[1], old[2], first)]
            await node.start()
        running = [old[2], first, second]
    await at(READ_AFTER_S)
    await asyncio.gather(*removals)
    if not all(node.running for machine in running for node in machine):
        raise CannotRunError("a process has ended by itself")
    read = None
    answers: dict[str, int] = {}
    end_s = time.monotonic() + READ_FOR_S
    while read is None and time.monotonic() < end_s:
        for control, _ in running:
            answer = await call(control.address("control"), "GET", "/v1/Config.Read")
            key = f"{control.ip} {answer.status or answer.reason}"
            answers[key] = answers.get(key, 0) + 1
            if answer.status == 200:
                read = json.loads(answer.body)
        await asyncio.sleep(0.5)
    record.write(f"reads of the manifest: {answers}")
    served = [
        await ask(deployment, record, entry, number) for number in range(4) for _, entry in running
    ]
    record.write(f"answers to clients at the end: {served}")
    record.write(f"read back: {'nothing' if read is None else read['version']}")
    return HELD if read == sent else BROKEN


run(case, Path(__file__).resolve().parent)
