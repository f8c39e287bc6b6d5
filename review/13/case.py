"""Streams that broke after their first event, taken up beside two software versions. See claim.txt."""

from __future__ import annotations

import asyncio
import os
import re
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import signal  # noqa: E402

import stand  # noqa: E402

STREAMS = 24
FIRST_ID = int(os.environ.get("FIRST_ID", "0"))  # The id of the first event of a stream.
EVENTS = 8
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+ (v\d+)\n\n")


class Caller:
    """One caller: begins a stream, and takes it up elsewhere after a broken connection."""

    def __init__(self, fleet: stand.Fleet, number: int) -> None:
        self.fleet, self.number, self.events, self.data, self.tries = fleet, number, [], b"", 0
        self.complete = False

    def feed(self, data: bytes) -> None:
        self.data += data
        while (found := EVENT.match(self.data)) is not None:
            self.data = self.data[found.end() :]
            self.events.append((int(found[1]), found[3].decode()))

    async def run(self) -> None:
        fleet, began, first_id = self.fleet, self.fleet.record.now(), ""
        prompt = stand.prompt_headers([("5c1e", 80), (f"91b{self.number}", 41), (f"e{self.number}", 25)], 20)
        machines = [fleet.machines[0], fleet.machines[1], fleet.machines[2], fleet.machines[1], fleet.machines[2]]
        for machine in machines:
            left_ms = int(15_000 - 1000 * (fleet.record.now() - began))
            request_id, before = fleet.new_id(), len(self.events)
            headers = stand.client_headers(request_id, left_ms) | prompt
            if self.events:
                headers |= {"last-event-id": str(self.events[-1][0]), "resumes": first_id}
            self.data = b""
            answer = await stand.call(
                machine.front, "POST", f"/chat/{self.number}", headers, b"{}", left_ms / 1000, self.feed
            )
            got = " ".join(f"{number}:{version}" for number, version in self.events[before:])
            fleet.record.add(
                f"stream {self.number} {request_id} at {machine.name} last={headers.get('last-event-id')}"
                f" resumes={headers.get('resumes')}: {answer}; events {got}"
            )
            if self.events and not first_id:
                first_id = request_id
            self.complete = answer.served
            if self.complete:
                return
            wait_s = float(answer.headers.get("retry-after", "0.05"))
            await asyncio.sleep(min(wait_s, left_ms / 3000))


async def case(record: stand.Record, trouble: bool) -> bool:
    fleet = stand.Fleet(record)
    try:
        for number, version in enumerate(("v1", "v2", "v1", "v2")):
            work = stand.stream(0.05, 0.55, EVENTS, FIRST_ID)
            fleet.server("pool", f"i-p{number}", work, version=version)
        routes = [
            stand.route("r-chat", "/chat/", "streaming", "pool", sticky=True, resumable=True,
                        max_gap_ms=600, timeout_ms=15000, priority=0),
        ]  # fmt: skip
        await fleet.start(stand.manifest(1, routes, [stand.service("pool", True)]), settle_s=4.0)
        callers = [Caller(fleet, number) for number in range(STREAMS)]
        tasks = []
        for caller in callers:
            tasks.append(asyncio.ensure_future(caller.run()))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        if trouble:
            fleet.machines[0].processes["entry"].signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
            fleet.machines[0].processes["entry"].start()
        await asyncio.gather(*tasks)
        mixed = [c.number for c in callers if len({version for _, version in c.events}) > 1]
        record.add(f"complete: {sum(c.complete for c in callers)} of {STREAMS}")
        record.add(f"streams with events of two software versions: {len(mixed)}: {mixed}")
        broken = len(mixed) > 2
        record.add("ORDER is broken" if broken else "ORDER holds")
        return broken
    finally:
        fleet.stop()


if __name__ == "__main__":
    stand.main(HERE, case)
