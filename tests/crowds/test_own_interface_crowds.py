"""Crowds of clients at a node of the product's own interface."""

from __future__ import annotations

import contextlib
import json
import resource
import subprocess
from collections.abc import Iterator
from pathlib import Path

import pytest
from attrs import define
from tests.crowds.crowd import Crowd
from tests.crowds.vm import Observed, wait_until
from tests.node.cluster import CALLER_KEY, OPERATOR_KEY, Cluster

# The memory and the descriptors of a node whose settings name none: the default, and the limit of
# the shell that starts it.
MEMORY_MB = 256
DESCRIPTORS = 256
CROWD_BYTES = 600_000_000
FEW, MANY = 8, 150
BODY_BYTES = 8_388_608


@define(eq=False)
class Node:
    """The node at which a crowd is, with its deployment."""

    deployment: Cluster
    observed: Observed

    @property
    def callers(self) -> tuple[str, int]:
        """Return the address for callers."""
        return "127.0.0.1", self.deployment.caller["n1"]

    @property
    def operators(self) -> tuple[str, int]:
        """Return the address for operators."""
        return "127.0.0.1", self.deployment.admin["n1"]

    def check(self) -> None:
        """Check an ordinary request, operators, life, memory and descriptors."""
        wait_until("a call is served", lambda: self.deployment.complete("n1").status == 200)
        wait_until("the status is served", lambda: self.deployment.status("n1")["ready"])
        self.observed.sample()
        assert self.observed.alive
        usage = self.observed.usage()
        print(usage)
        assert usage.memory_mb <= MEMORY_MB
        # A node without a free descriptor can open neither a file nor a connection.
        assert usage.descriptors < DESCRIPTORS

    def meet(self, crowd: Crowd) -> None:
        """Let a crowd send, and check the node while it stays connected and after it has left."""
        try:
            crowd.run(self.observed.sample)
            self.check()
        finally:
            crowd.close()
        self.check()


@contextlib.contextmanager
def few_descriptors() -> Iterator[None]:
    """Limit the descriptors of the processes that are started."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    deployment = Cluster(tmp_path)
    try:
        deployment.start_upstreams()
        with few_descriptors():
            deployment.start(*deployment.names)
        first = deployment.leader(*deployment.names)
        assert deployment.apply(first, 0, "first", 520)["status"] == "accepted"
        for name in deployment.names:
            deployment.wait_version(name, 1)
        deployment.wait_serving(*deployment.names)
        process: subprocess.Popen[bytes] = deployment._processes["n1"]
        yield Node(deployment, Observed(process, tmp_path / "n1.log"))
    finally:
        deployment.close()


def completion(key: str) -> bytes:
    body = json.dumps({"model": "m", "messages": [{"role": "user", "content": "x" * 400}]}).encode()
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def declared(target: str, key: str, size: int) -> bytes:
    """Return a request with a quarter of the body that it declares."""
    return (
        f"POST {target} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode() + b" " * (size // 4)


def test_calls_sent_ahead_whose_answers_are_not_read(node: Node) -> None:
    # Guards against a parser that takes in a further packet for each call that is answered.
    payload = completion(CALLER_KEY)
    node.meet(Crowd(node.callers, FEW, payload, each_bytes=CROWD_BYTES // FEW))


def test_documents_of_which_a_quarter_is_sent(node: Node) -> None:
    # Guards against documents of operators that no limit of the process counts.
    first = declared("/v1/config", OPERATOR_KEY, BODY_BYTES)
    node.meet(Crowd(node.operators, MANY, first=first))


@pytest.mark.parametrize("port", ["callers", "operators"])
def test_silent_connections(node: Node, port: str) -> None:
    # Guards against connections that leave no descriptor for anybody else.
    address = node.callers if port == "callers" else node.operators
    node.meet(Crowd(address, 2 * MANY))
