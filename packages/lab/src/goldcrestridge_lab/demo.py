"""Checks of the demo deployment through a real client library.

Usage:
  demo wait --nodes=N
  demo check
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httpcore
import msgspec
import openai
from docopt import docopt

from goldcrestridge_lab.keys import new_key

CALLER_KEY = "demo-caller-key"
ADMIN_URLS = tuple(f"http://127.0.0.1:{port}" for port in (17901, 17902, 17903))
FIRST_ENTRY = "http://127.0.0.1:17601"
SERVICE_URL = "http://127.0.0.1:17811"
MODEL = "demo-model"
WAIT_S = 60.0
POLL_S = 0.1


class CheckError(Exception):
    """Report a check of the demo that failed."""


def require(condition: bool, message: str) -> None:
    """Raise CheckError unless a condition holds, and print what was checked."""
    if not condition:
        raise CheckError(message)
    print(f"  ok: {message}")


def get_json(url: str, key: str = "") -> Any:
    """Return the JSON answer to GET."""
    headers: dict[str | bytes, str | bytes] = {"authorization": f"Bearer {key}"} if key else {}
    response = httpcore.request("GET", url, headers=headers)
    return msgspec.json.decode(response.content)


def wait_until(state: str, ready: Callable[[], bool]) -> None:
    """Poll until a state is reached; raise CheckError after a minute."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        try:
            if ready():
                return
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            pass
        except (KeyError, msgspec.DecodeError):
            pass
        time.sleep(POLL_S)
    raise CheckError(f"Not reached within {WAIT_S:g} s: {state}.")


def operator_key() -> str:
    """Return the operator's key from the file that the command line also uses."""
    return Path(os.environ["GOLDCRESTRIDGE_KEY_FILE"]).read_text(encoding="utf-8").strip()


def wait_for_nodes(count: int) -> None:
    """Wait until ``count`` nodes see each other as alive, and a leader is known to each."""

    def ready() -> bool:
        seen = []
        for url in ADMIN_URLS[:count]:
            status = get_json(f"{url}/v1/status", operator_key())
            alive = [m for m in status["members"] if m["state"] == "alive"]
            served = not status["config_version"] or status["ready"]
            seen.append(len(alive) == count and bool(status["leader"]) and served)
        return all(seen)

    wait_until(f"{count} nodes alive with a log leader", ready)


def check_addresses() -> str:
    """Ask for the addresses to use and return the first."""
    answer = get_json(f"{FIRST_ENTRY}/addresses", CALLER_KEY)
    require(bool(answer["addresses"]), f"addresses to use: {', '.join(answer['addresses'])}")
    require(answer["ttl_ms"] > 0, f"the answer may be kept for {answer['ttl_ms']:g} ms")
    return str(answer["addresses"][0])


def check_completions(address: str) -> str:
    """Use the client library for models, a completion and a stream; return a request id."""
    client = openai.OpenAI(base_url=f"http://{address}/v1", api_key=CALLER_KEY, max_retries=0)
    models = [model.id for model in client.models.list()]
    require(models == [MODEL], f"models listed: {models}")
    messages: Any = [{"role": "user", "content": "Match this key profile."}]
    response = client.chat.completions.with_raw_response.create(
        model=MODEL, messages=messages, max_tokens=12
    )
    text = response.parse().choices[0].message.content or ""
    require(bool(text), f"completion: {text[:40]!r}")
    require(response.headers["x-goldcrestridge-outcome"] == "completed", "its outcome is completed")
    stream = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=12, stream=True
    )
    streamed = "".join(chunk.choices[0].delta.content or "" for chunk in stream if chunk.choices)
    require(streamed == text, "the stream delivers the same text")
    unauthorized = openai.OpenAI(base_url=f"http://{address}/v1", api_key="wrong", max_retries=0)
    try:
        unauthorized.models.list()
    except openai.AuthenticationError:
        require(True, "a wrong key is refused")
    else:
        require(False, "a wrong key is refused")
    return str(response.headers["x-goldcrestridge-request-id"])


def check_service(address: str) -> None:
    """Send one call that may not be repeated twice with one key; it runs once."""
    key = new_key()
    headers: dict[str | bytes, str | bytes] = {
        "authorization": f"Bearer {CALLER_KEY}",
        "idempotency-key": key,
        "content-type": "application/json",
    }
    url = f"http://{address}/services/orders/charge"
    body = b'{"amount": 120}'
    first, second = (httpcore.request("POST", url, headers=headers, content=body) for _ in range(2))
    require(first.status == 200, "a card charge is answered")
    require(second.content == first.content, "the same call again gets the recorded answer")
    runs = get_json(f"{SERVICE_URL}/runs")
    require(runs.get(key) == 1, "it ran once")


def check_timeline(request_id: str) -> None:
    """Follow one request over all processes with the command line."""
    command = ["goldcrestridge", "timeline", "--request", request_id, "--json"]
    output = subprocess.run(command, check=True, capture_output=True).stdout
    events = msgspec.json.decode(output)["events"]
    kinds = [event["kind"] for event in events]
    print("\n".join(f"    {event['node']:<8} {event['kind']}" for event in events))
    require(kinds[0] == "request_arrived", "the time line of the request begins at its arrival")
    require("slot_granted" in kinds, "it shows the grant of the slot owner")
    require(kinds[-1] == "request_completed", "it ends with its outcome")


def check_all() -> None:
    """Run all checks against the running deployment."""
    wait_until("an entry that answers", lambda: bool(get_json(f"{FIRST_ENTRY}/healthz")))
    address = check_addresses()
    request_id = check_completions(address)
    check_service(address)
    check_timeline(request_id)


def main() -> int:
    """Run one command; exit code 1 names the check that failed."""
    options = docopt(__doc__)
    try:
        if options["wait"]:
            wait_for_nodes(int(options["--nodes"]))
        else:
            check_all()
    except (CheckError, subprocess.CalledProcessError, openai.APIError) as exc:
        print(f"FAILED: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
