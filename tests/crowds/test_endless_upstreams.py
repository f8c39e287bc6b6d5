"""Upstreams that send bytes without end, at the processes of one VM with little memory.

The requests of callers to another service must go on to be served, in time and within the memory.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from tests.crowds.crowd import Crowd
from tests.crowds.vm import (
    CALLERS,
    DESCRIPTORS_FOR_THOUSANDS,
    HOST,
    KEY,
    REQUEST_ERRORS,
    Vm,
    running_vm,
)

# Requests to the faulty upstream at a time.
REQUESTS = 96
# How long ordinary requests are sent beside them, one after the other.
OBSERVED_S = 6.0
BLOCK = 65_536


def head(request_id: bytes, framing: bytes, kind: bytes = b"text/event-stream") -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nx-goldcrestridge-server-stamp: signed\r\ncontent-type: %b\r\n"
        b"x-goldcrestridge-request-id: %b\r\n%b\r\n" % (kind, request_id, framing)
    )


def fill(unit: bytes) -> bytes:
    return unit * (BLOCK // len(unit))


CHUNKED = b"transfer-encoding: chunked\r\n"
SHAPES: dict[str, Callable[[bytes], tuple[bytes, bytes]]] = {
    "interim heads": lambda _: (b"", fill(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
    "a header line": lambda _: (b"HTTP/1.1 200 OK\r\nx-a: ", fill(b"a")),
    "header fields": lambda _: (b"HTTP/1.1 200 OK\r\n", fill(b"x-a: b\r\n")),
    "noise": lambda _: (b"", fill(b"\x00\xff\r\n")),
    "an event": lambda name: (head(name, b""), fill(b"data: a\r\n")),
    "a line": lambda name: (head(name, CHUNKED), b"10000\r\n%b\r\n" % (b"a" * BLOCK)),
    "comments": lambda name: (head(name, b""), fill(b": a\n")),
    "single bytes": lambda name: (head(name, CHUNKED), fill(b"1\r\na\r\n")),
    "a body": lambda name: (head(name, b"", b"text/plain"), fill(b"a")),
    "a long body": lambda name: (
        head(name, b"content-length: 99000000000\r\n", b"text/plain"),
        fill(b"a"),
    ),
}


def request(path: str) -> bytes:
    return (
        f"POST /{path}/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
        "X-Goldcrestridge-Request-Id: 9c41d07be2a35f68\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def serve_ordinary(vm: Vm, served: list[bool]) -> None:
    """Send ordinary requests; record of each whether it was served within its time limit."""
    end_s = time.monotonic() + OBSERVED_S
    while time.monotonic() < end_s:
        try:
            served.append(vm.serves())
        except REQUEST_ERRORS:
            served.append(False)
        time.sleep(0.1)


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("path", ["faulty", "stream"])
def test_bytes_without_end_do_not_hold_up_other_requests(
    tmp_path: Path, path: str, shape: str
) -> None:
    # Guards against a process that keeps all bytes, or that does nothing else while it reads them.
    with running_vm(tmp_path, descriptors=DESCRIPTORS_FOR_THOUSANDS, faulty=SHAPES[shape]) as vm:
        served: list[bool] = []
        ordinary = threading.Thread(target=serve_ordinary, args=(vm, served))
        crowd = Crowd((vm.ip, CALLERS), REQUESTS, first=request(path), connects=4 * REQUESTS)
        ordinary.start()
        try:
            crowd.run(vm.sample)
            ordinary.join()
        finally:
            crowd.close()
        vm.check()
        print(f"{sum(served)} of {len(served)} ordinary requests were served")
        assert all(served)
        vm.wait_serving()


LIST_SHAPES = {
    "interim heads": (b"", fill(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
    "a header line": (b"HTTP/1.1 200 OK\r\nx-a: ", fill(b"a")),
    "noise": (b"", fill(b"\x00\xff\r\n")),
    "single bytes": (b"HTTP/1.1 200 OK\r\n%b\r\n" % CHUNKED, fill(b"1\r\n[\r\n")),
    "a body": (b"HTTP/1.1 200 OK\r\n\r\n", fill(b"[")),
    "entries": (b'HTTP/1.1 200 OK\r\n\r\n{"instances":[{}', fill(b',{"id":"i"}')),
}


@pytest.mark.parametrize("shape", LIST_SHAPES)
def test_a_list_without_end_does_not_hold_up_operators_and_callers(
    tmp_path: Path, shape: str
) -> None:
    # Guards against a leader that keeps all bytes of the list, or does nothing else meanwhile.
    with running_vm(tmp_path) as vm:
        assert vm.platform is not None
        vm.platform.endless_list = LIST_SHAPES[shape]
        served: list[bool] = []
        serve_ordinary(vm, served)
        assert all(served)
        vm.replace(2, 1)
        vm.wait_serving()
        vm.check()
