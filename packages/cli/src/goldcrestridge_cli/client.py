"""Client of a node's operator interface over HTTP."""

from __future__ import annotations

from typing import Any

import httpcore
import msgspec
from attrs import frozen

from goldcrestridge_cli.exceptions import EXIT_REFUSED, EXIT_UNREACHABLE, CommandError

TIMEOUT_S = 10.0


@frozen
class Client:
    """Talk to the operator interface of one node at ``url`` with an operator's ``key``."""

    url: str
    key: str = ""

    def get(self, path: str) -> dict[str, Any]:
        """Return the JSON answer to GET; raises CommandError."""
        return self._call("GET", path, b"")

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return the JSON answer to POST; raises CommandError."""
        return self._call("POST", path, msgspec.json.encode(body))

    def _call(self, method: str, path: str, body: bytes) -> dict[str, Any]:
        headers: dict[str | bytes, str | bytes] = {"content-type": "application/json"}
        if self.key:
            headers["authorization"] = f"Bearer {self.key}"
        timeout = {"connect": TIMEOUT_S, "read": 3 * TIMEOUT_S, "write": TIMEOUT_S}
        try:
            response = httpcore.request(
                method,
                self.url.rstrip("/") + path,
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as exc:
            message = f"The node at {self.url} can't be reached ({type(exc).__name__}). "
            message += "Check --node, or name another node."
            raise CommandError(message, EXIT_UNREACHABLE) from exc
        except (httpcore.UnsupportedProtocol, ValueError) as exc:
            message = f"{self.url!r} is not the URL of a node, like http://10.0.0.7:9000."
            raise CommandError(message, EXIT_UNREACHABLE) from exc
        return _parse(response, self.url)


def _parse(response: httpcore.Response, url: str) -> dict[str, Any]:
    try:
        value = msgspec.json.decode(response.content, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        message = f"The answer of {url} is not JSON; is it the operator address of a node?"
        raise CommandError(message, EXIT_UNREACHABLE) from exc
    if response.status in (401, 403):
        message = f"{value.get('error', 'Refused.')} Name your key with --key-file."
        raise CommandError(message, EXIT_REFUSED)
    if response.status >= 500:
        message = value.get("error", f"The node answered {response.status}.")
        raise CommandError(message, EXIT_UNREACHABLE)
    return value
