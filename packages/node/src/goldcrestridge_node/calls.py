"""Authenticate callers and build calls from their HTTP requests."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote

from attrs import field, frozen

from goldcrestridge_core.call_types import Call, CallKind
from goldcrestridge_core.classes import is_repeatable
from goldcrestridge_core.config import Configuration, Workspace
from goldcrestridge_core.decoding import MALFORMED
from goldcrestridge_core.types import Headers
from goldcrestridge_node import prompts
from goldcrestridge_node.headers import header_values, request_headers
from goldcrestridge_node.refusals import Refusal

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
SERVICES_PREFIX = "/services/"
SITE_HEADER = b"x-goldcrestridge-site"
KEY_HEADER = b"idempotency-key"
MAX_KEY_BYTES = 255

# Keys are indexed by the first characters of their digest. A caller knows the digest of its own key
# and cannot choose it, so the timing of the index lookup reveals nothing. Within a bucket the
# comparison takes constant time.
BUCKET_CHARS = 8

UNAUTHORIZED = Refusal(401, "invalid_api_key", "The bearer key is missing or unknown.")

Classify = Callable[[str, str, str, str, str], str]


def _bucket_keys(workspaces: Iterable[Workspace]) -> dict[str, list[tuple[str, Workspace]]]:
    buckets: dict[str, list[tuple[str, Workspace]]] = {}
    for workspace in workspaces:
        for digest in workspace.keys_sha256:
            entry = (digest.lower(), workspace)
            buckets.setdefault(entry[0][:BUCKET_CHARS], []).append(entry)
    return buckets


@frozen
class Directory:
    """Lookup of keys, sites, models and services in a configuration to build calls.

    ``classify`` takes workspace, site, model, service and path, and returns a class name.
    """

    cfg: Configuration
    classify: Classify
    node_site: str
    _keys: dict[str, list[tuple[str, Workspace]]] = field(init=False)

    @_keys.default
    def _index(self) -> dict[str, list[tuple[str, Workspace]]]:
        return _bucket_keys(self.cfg.workspaces.values())

    def authenticate(self, headers: Headers) -> Workspace | None:
        """Return the workspace of the bearer key, or None if the key is missing or unknown."""
        credentials = header_values(headers, b"authorization")
        if len(credentials) != 1:
            return None
        scheme, _, key = credentials[0].partition(b" ")
        if scheme.lower() != b"bearer":
            return None
        digest = hashlib.sha256(key.strip()).hexdigest()
        found = None
        for known_digest, workspace in self._keys.get(digest[:BUCKET_CHARS], ()):
            if hmac.compare_digest(known_digest, digest):
                found = workspace
        return found

    def site(self, workspace: Workspace, headers: Headers) -> str:
        """Return the site that the caller names if its workspace lists it, or the node's."""
        requested = [value.decode("latin-1") for value in header_values(headers, SITE_HEADER)]
        return next((name for name in requested if name in workspace.sites), self.node_site)

    def models(self, workspace: Workspace) -> list[str]:
        """Return the names of the models that the workspace may use."""
        return [name for name in workspace.models if name in self.cfg.models]

    def completion(
        self, workspace: Workspace, path: str, headers: Headers, body: bytes
    ) -> Call | Refusal:
        """Return the call of a completion request, or a refusal."""
        decode = prompts.decode_chat if path == CHAT_PATH else prompts.decode_text
        try:
            prompt = decode(body)
        except MALFORMED as exc:
            return Refusal(400, "invalid_body", f"The body cannot be used: {exc}.")
        if prompt.model not in self.models(workspace):
            return Refusal(
                404, "model_not_found", "The model does not exist or is not open to the workspace."
            )
        site = self.site(workspace, headers)
        return Call(
            kind=CallKind.COMPLETION,
            workspace=workspace.name,
            site=site,
            class_name=self.classify(workspace.name, site, prompt.model, "", path),
            pool=self.cfg.models[prompt.model].pool,
            method="POST",
            path=path,
            query=b"",
            headers=(),
            body=prompt.body,
            model=prompt.model,
            stream=prompt.stream,
            prompt_tokens=prompt.prompt_tokens,
            max_tokens=prompt.max_tokens,
            prefix=prompt.prefix,
            continuable=prompt.continuable,
        )

    def service_call(
        self, workspace: Workspace, scope: dict[str, Any], body: bytes
    ) -> Call | Refusal:
        """Return the call of a plain service, or a refusal; the path is forwarded unchanged."""
        headers: Headers = tuple(scope["headers"])
        raw_path = scope["raw_path"].decode("ascii")
        quoted_name, slash, remainder = raw_path.removeprefix(SERVICES_PREFIX).partition("/")
        name = unquote(quoted_name)
        path = slash + remainder or "/"
        service = self.cfg.services.get(name)
        if service is None or name not in workspace.services:
            return Refusal(
                404,
                "service_not_found",
                "The service does not exist or is not open to the workspace.",
            )
        if not _is_canonical(unquote(path)):
            return Refusal(400, "invalid_path", "The path has dot segments or control characters.")
        key = b",".join(header_values(headers, KEY_HEADER))
        if len(key) > MAX_KEY_BYTES or not key.isascii():
            return Refusal(400, "invalid_idempotency_key", "The idempotency key is malformed.")
        site = self.site(workspace, headers)
        return Call(
            kind=CallKind.PLAIN,
            workspace=workspace.name,
            site=site,
            class_name=self.classify(workspace.name, site, "", name, unquote(path)),
            pool=service.pool,
            method=scope["method"],
            path=path,
            query=scope["query_string"],
            headers=request_headers(headers),
            body=body,
            service=name,
            repeatable=is_repeatable(service, scope["method"], unquote(path)),
            key=key.decode("ascii"),
        )


def _is_canonical(path: str) -> bool:
    """Return whether a service resolves the path in the same way as the rules of calls.

    With a dot segment, a call that must not be repeated could match the rule of a repeatable one.
    """
    segments = (segment.partition(";")[0] for segment in path.split("/"))
    has_dots = any(segment in (".", "..") for segment in segments)
    return not has_dots and path.isprintable() and "\\" not in path
