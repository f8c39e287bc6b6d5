"""Crowds of clients at the processes of one VM, which must stay within its memory and descriptors.

Each test starts the processes, lets a crowd send until the server holds it up, and checks life,
memory, descriptors and ordinary requests, both while the crowd stays connected and after it left.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.crowds.crowd import Crowd
from tests.crowds.vm import (
    CALLERS,
    CONTROL_METRICS,
    DESCRIPTORS_FOR_THOUSANDS,
    DIRECTORY,
    ENTRY_METRICS,
    FIRST_PEER_PORT,
    HOST,
    KEY,
    LARGEST_BODY_BYTES,
    OPERATORS,
    READY,
    Vm,
    running_vm,
)

# All bytes of a crowd together are far more than the memory of the VM.
CROWD_BYTES = 300_000_000
FEW, MANY, HUNDREDS = 8, 150, 600


def usual_request(size: int, body: bytes = b"x" * 500) -> bytes:
    """Return a request as callers send it, whose answer has ``size`` bytes."""
    return (
        f"POST /data/x?bytes={size} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
        "X-Goldcrestridge-Request-Id: 9c41d07be2a35f68\r\nX-Goldcrestridge-Deadline-Ms: 6000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def get(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


BARE_REQUEST = get("/data/x")
BODY_HEAD = f"POST /data/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n".encode()
CHUNK = b"%x\r\n%b\r\n" % (16_384, b"x" * 16_384)


def declared(target: str, size: int) -> bytes:
    """Return the head of a request that declares a body of ``size`` bytes."""
    return (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


@contextlib.contextmanager
def crowd_at(vm: Vm, crowd: Crowd) -> Iterator[None]:
    """Let a crowd send, check the VM while it stays connected and after it has left."""
    try:
        crowd.run(vm.sample)
        vm.wait_serving()
        vm.check()
        yield
    finally:
        crowd.close()
    vm.wait_serving()
    vm.check()


@pytest.fixture
def vm(tmp_path: Path) -> Iterator[Vm]:
    with running_vm(tmp_path) as running:
        yield running


@pytest.mark.parametrize("size", [FEW, MANY])
def test_requests_sent_ahead_whose_answers_are_not_read(vm: Vm, size: int) -> None:
    # Guards against a parser that takes in a further packet for each request that is answered.
    payload, each_bytes = usual_request(20), CROWD_BYTES // size
    with crowd_at(vm, Crowd((vm.ip, CALLERS), size, payload, each_bytes=each_bytes)):
        pass


def test_requests_sent_ahead_without_the_usual_headers(tmp_path: Path) -> None:
    # Guards against refusals that are never read, each beside a whole packet of further requests.
    with running_vm(tmp_path, descriptors=DESCRIPTORS_FOR_THOUSANDS) as vm:
        each_bytes = CROWD_BYTES // HUNDREDS
        with crowd_at(vm, Crowd((vm.ip, CALLERS), HUNDREDS, BARE_REQUEST, each_bytes=each_bytes)):
            pass


def test_large_answers_that_are_not_read(vm: Vm) -> None:
    # Guards against whole answers that pile up in the send buffers of connections.
    payload = usual_request(200_000)
    with crowd_at(vm, Crowd((vm.ip, CALLERS), MANY, payload, each_bytes=CROWD_BYTES // MANY)):
        pass


def test_bodies_in_chunks_that_never_end(vm: Vm) -> None:
    # Guards against bodies that together exceed the memory.
    head = BODY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    with crowd_at(vm, Crowd((vm.ip, CALLERS), MANY, CHUNK, head, CROWD_BYTES // MANY)):
        pass


def test_declared_bodies_of_which_a_quarter_is_sent(vm: Vm) -> None:
    # Guards against incomplete bodies that together exceed the memory.
    first = declared("/data/x", LARGEST_BODY_BYTES) + b"x" * (LARGEST_BODY_BYTES // 4)
    with crowd_at(vm, Crowd((vm.ip, CALLERS), MANY, first=first)):
        pass


def test_documents_of_which_a_quarter_is_sent(vm: Vm) -> None:
    # Guards against control nodes that hold incomplete documents without a bound.
    first = declared("/v1/Config.Replace", LARGEST_BODY_BYTES) + b" " * (LARGEST_BODY_BYTES // 4)
    with crowd_at(vm, Crowd((vm.ip, OPERATORS), MANY, first=first)):
        pass


@pytest.mark.parametrize("port", [READY, DIRECTORY, ENTRY_METRICS, CONTROL_METRICS])
def test_bodies_at_ports_that_expect_none(vm: Vm, port: int) -> None:
    # Guards against pages that collect the body of a request before they look at its path.
    first = declared("/v1/ready", LARGEST_BODY_BYTES) + b"x" * (LARGEST_BODY_BYTES // 4)
    with crowd_at(vm, Crowd((vm.ip, port), MANY, first=first)):
        pass


def test_documents_read_ahead(tmp_path: Path) -> None:
    # Guards against a copy of the document for each read whose answer waits.
    with running_vm(tmp_path, workspaces=3_000) as vm:
        payload = get("/v1/Config.Read")
        crowd = Crowd((vm.ip, OPERATORS), MANY, payload, each_bytes=CROWD_BYTES // MANY)
        with crowd_at(vm, crowd):
            pass


@pytest.mark.parametrize(
    ("port", "target"),
    [
        (READY, "/v1/ready"),
        (DIRECTORY, f"/v1/resolve?name={HOST}&zone=z1"),
        (ENTRY_METRICS, "/metrics"),
        (CONTROL_METRICS, "/metrics"),
    ],
)
def test_pages_asked_ahead(tmp_path: Path, port: int, target: str) -> None:
    # Guards against the same fault at the ports of a node's own pages.
    with running_vm(tmp_path, descriptors=DESCRIPTORS_FOR_THOUSANDS) as vm:
        crowd = Crowd((vm.ip, port), HUNDREDS, get(target), each_bytes=CROWD_BYTES // HUNDREDS)
        with crowd_at(vm, crowd):
            pass


@pytest.mark.parametrize(
    "port", [CALLERS, READY, DIRECTORY, OPERATORS, ENTRY_METRICS, CONTROL_METRICS]
)
def test_silent_connections(vm: Vm, port: int) -> None:
    # Guards against more connections at one port than the process has descriptors.
    with crowd_at(vm, Crowd((vm.ip, port), 2 * MANY)):
        pass


def test_silent_connections_that_come_again_at_once(vm: Vm) -> None:
    # Guards against refusals that hold descriptors.
    with crowd_at(vm, Crowd((vm.ip, CALLERS), 2 * MANY, connects=3_000)):
        pass


@pytest.mark.parametrize("port", [FIRST_PEER_PORT, FIRST_PEER_PORT + 1])
def test_strangers_at_the_ports_between_nodes(vm: Vm, port: int) -> None:
    # Guards against connections and messages of strangers that no count holds. The greeting and
    # the handshake are those of a peer; then comes a part of a large message.
    greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
    body = b"\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
    message = b"\x02" + (16 * 1024 * 1024 - 1).to_bytes(8, "big") + b"x" * 65_536
    first = greeting + b"\x04" + bytes([len(body)]) + body + message
    with crowd_at(vm, Crowd((vm.ip, port), 2 * MANY, first=first)):
        pass


@pytest.mark.parametrize("port", [CALLERS, OPERATORS, DIRECTORY])
def test_heads_that_do_not_end(tmp_path: Path, port: int) -> None:
    # Guards against heads that together exceed the memory.
    with running_vm(tmp_path, descriptors=DESCRIPTORS_FOR_THOUSANDS) as vm:
        head = b"GET / HTTP/1.1\r\n" + b"X-Filler: " + b"x" * 30_000
        with crowd_at(vm, Crowd((vm.ip, port), 20 * MANY, first=head)):
            pass


def test_a_request_with_the_largest_body_is_served_in_calm(vm: Vm) -> None:
    # Guards against limits that a single caller within the limits of the platform meets.
    body = b"x" * LARGEST_BODY_BYTES
    for size in (20, 1_000_000):
        assert vm.serves(body, size)
    vm.check()
