"""HTTP client of the operator interface of a node."""

from __future__ import annotations

from typing import Any

import httpcore
import msgspec
from attrs import frozen
from returns.result import Failure

from goldcrestridge_cli.exceptions import EXIT_REFUSED, EXIT_UNREACHABLE, CommandError
from goldcrestridge_core.decoding import decode_json

TIMEOUT_S = 10.0


@frozen
class Client:
    """Client of the node at ``url``; ``key`` is the bearer key of an operator, or empty."""

    url: str
    key: str = ""

    def get(self, path: str) -> dict[str, Any]:
        """Send a GET request and return the JSON response; raise CommandError if it fails."""
        return self._call("GET", path, b"")

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a POST request with a JSON body and return the JSON response.

        Raise CommandError if it fails.
        """
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
            message += "Check --node, or use another node."
            raise CommandError(message, EXIT_UNREACHABLE) from exc
        except (httpcore.UnsupportedProtocol, ValueError) as exc:
            message = f"{self.url!r} is not the URL of a node, like http://10.0.0.7:9000."
            raise CommandError(message, EXIT_UNREACHABLE) from exc
        return _parse(response, self.url)


def _parse(response: httpcore.Response, url: str) -> dict[str, Any]:
    decoded = decode_json(response.content, dict[str, Any])
    if isinstance(decoded, Failure):
        message = (
            f"The response of {url} is not JSON; check that it is the operator address of a node."
        )
        raise CommandError(message, EXIT_UNREACHABLE)
    value = decoded.unwrap()
    if response.status in (401, 403):
        message = f"{value.get('error', 'Refused.')} Give an operator's key with --key-file."
        raise CommandError(message, EXIT_REFUSED)
    if response.status >= 500:
        message = value.get("error", f"The node returned status {response.status}.")
        raise CommandError(message, EXIT_UNREACHABLE)
    return value
