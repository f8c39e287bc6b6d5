"""Load of a fixed number of completion requests, as a process of its own.

Usage:
  callers <url> --requests=N [options]

Options:
  --requests=N    Number of requests.
  --parallel=N    Requests that run at once [default: 8].
  --key=KEY       Bearer key [default: bench].
  --tokens=N      Bound on the output of a request [default: 1].
  --prompt=N      Characters of the prompt [default: 1000].
  --seed=N        Seed of the prompts [default: 1].
  --stream        Ask for streams.

Prints one JSON object: completed and failed requests, and the events of the streams.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import anyio
import httpcore
import msgspec
from attrs import define
from docopt import docopt

PATH = "/v1/chat/completions"


@define
class Tally:
    """What the callers saw."""

    completed: int = 0
    failed: int = 0
    events: int = 0


def request_body(rng: random.Random, args: dict[str, Any]) -> bytes:
    """Return a chat request with a random prompt."""
    letters = rng.choices("abcdefghijklmnopqrstuvwxyz ", k=int(args["--prompt"]))
    body = {
        "model": "m1",
        "messages": [{"role": "user", "content": "".join(letters)}],
        "max_tokens": int(args["--tokens"]),
        "stream": args["--stream"],
    }
    return msgspec.json.encode(body)


async def send_requests(args: dict[str, Any]) -> Tally:
    """Send all requests and count the answers."""
    tally = Tally()
    rng = random.Random(int(args["--seed"]))
    bodies = [request_body(rng, args) for _ in range(int(args["--requests"]))]
    headers = [
        ("Host", "edge"),
        ("Authorization", f"Bearer {args['--key']}"),
        ("Content-Type", "application/json"),
    ]
    parallel = int(args["--parallel"])
    async with (
        httpcore.AsyncConnectionPool(max_connections=parallel, retries=0) as pool,
        anyio.create_task_group() as group,
    ):

        async def send_until_done() -> None:
            while bodies:
                body = bodies.pop()
                response = await pool.request(
                    "POST", args["<url>"] + PATH, headers=headers, content=body
                )
                complete = not args["--stream"] or response.content.endswith(b"data: [DONE]\n\n")
                if response.status == 200 and complete:
                    tally.completed += 1
                else:
                    tally.failed += 1
                tally.events += response.content.count(b"\n\n")

        for _ in range(parallel):
            group.start_soon(send_until_done)
    return tally


def main(argv: list[str] | None = None) -> None:
    """Run the load and print what came back."""
    tally = anyio.run(send_requests, docopt(__doc__, argv))
    sys.stdout.write(msgspec.json.encode(tally).decode() + "\n")


if __name__ == "__main__":
    main()
