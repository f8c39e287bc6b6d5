"""Some servers crash at once while a shared part of the prompts is new. See claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import stand  # noqa: E402

TRAFFIC_S = 60.0
PER_S = 60.0
SERVERS, CRASHING = 18, 3  # A share of 0.167.
CRASH_S, DOWN_S = 0.6, 4.5
FIRST_S = 0.8  # Until the first event of an answer.


async def ordinary(fleet: stand.Fleet, kind: str, method: str, path: str, more, served: dict) -> None:
    """One ordinary caller: two attempts, as the page on answers says."""
    deadline_ms, began = 6000, fleet.record.now()
    ok = False
    for _ in range(2):
        left_ms = int(deadline_ms - 1000 * (fleet.record.now() - began))
        request_id, machine = fleet.new_id(), random.choice(fleet.machines)
        headers = stand.client_headers(request_id, left_ms) | more
        answer = await stand.call(machine.front, method, path, headers, timeout_s=left_ms / 1000)
        fleet.record.add(f"{kind} {request_id} at {machine.name}: {answer}")
        ok = answer.served
        if ok or answer.status not in (429, 503):
            break
        wait_s = float(answer.headers.get("retry-after", "0.1"))
        if wait_s > left_ms / 3000:
            break
        await asyncio.sleep(wait_s)
    served[kind].append((began, ok))


async def case(record: stand.Record, trouble: bool) -> bool:
    fleet = stand.Fleet(record)
    try:
        pool = [fleet.server("pool", f"i-p{number}", stand.stream(FIRST_S, 0.05, 4)) for number in range(SERVERS)]
        for number in range(3):
            fleet.server("app", f"i-a{number}", stand.plain(0.045), slots=6)
        routes = [
            stand.route("r-chat", "/chat/", "streaming", "pool", sticky=True, resumable=True, max_gap_ms=600),
            stand.route("r-look", "/look/", "idempotent", "app", timeout_ms=1500),
        ]
        await fleet.start(stand.manifest(1, routes, [stand.service("pool", True), stand.service("app")]))
        served: dict[str, list] = {"chat": [], "look": []}
        tasks = []
        began = record.now()

        async def strike() -> None:
            await asyncio.sleep(CRASH_S)
            if not trouble:
                return
            victims = random.sample([server for server in pool if server.busy], CRASHING)
            record.add("servers crash: " + " ".join(server.name for server in victims))
            for server in victims:
                await server.crash()
            await asyncio.sleep(DOWN_S)
            for server in victims:
                server.name, server.born = f"{server.name}-2", server.born + 5_000
                await server.start()
            record.add("they serve again")

        striking = asyncio.ensure_future(strike())
        for number in range(int(TRAFFIC_S * PER_S)):
            await asyncio.sleep(max(0.0, began + number / PER_S - record.now()))
            # All requests share the first part, which is the template of the route.
            prompt = stand.prompt_headers([("5c1e", 800), (f"91b{number % 200}", 410), (f"e{number}", 250)], 20)
            tasks.append(asyncio.ensure_future(ordinary(fleet, "chat", "POST", f"/chat/{number}", prompt, served)))
            if number % 4 == 0:
                tasks.append(asyncio.ensure_future(ordinary(fleet, "look", "GET", f"/look/{number}", {}, served)))
        await asyncio.gather(*tasks, striking)
        shares = {kind: sum(ok for _, ok in items) / len(items) for kind, items in served.items()}
        every = [ok for items in served.values() for _, ok in items]
        total = sum(every) / len(every)
        late = [ok for at, ok in served["chat"] if at > began + 30.0]
        broken = any(share < total / 4 for share in shares.values())
        record.add(f"served: chat {shares['chat']:.3f}, look {shares['look']:.3f}, all {total:.3f}")
        record.add(f"served of chat from 30 s on, when all servers were back for long: {sum(late) / len(late):.3f}")
        record.add("Starved is broken: a kind is served less than a quarter as often as all" if broken else "Starved holds")
        return broken
    finally:
        fleet.stop()


if __name__ == "__main__":
    stand.main(HERE, case)
