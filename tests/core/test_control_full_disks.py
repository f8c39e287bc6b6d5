"""Tests of control nodes whose disks are full in turn, while versions go on to be sent."""

from __future__ import annotations

import pytest
from tests.core.control_net import Net
from tests.core.test_control_handover import SIZES, formed_net

from goldcrestridge_core.types import NodeId
from goldcrestridge_core.versions import ReplaceResult, ReplaceStatus

# For how long each disk is full, and how soon a folder is opened again after that.
FULL_MS = 4_500.0
REOPEN_MS = 500.0
CHANGE_MS = 400.0
# A change is acknowledged within this time in calm.
ACK_MS = 4_000.0


def send_changes(net: Net, node: NodeId, version: int, duration_ms: float) -> int:
    """Send versions at a node for some time; return the last one that was sent."""
    end_ms = net.now_ms + duration_ms
    while net.now_ms < end_ms:
        version += 1
        net.replace(node, version, b"v%d" % version)
        net.run(min(CHANGE_MS, end_ms - net.now_ms))
    return version


@pytest.mark.parametrize("gap_ms", [0.0, 300.0, 1_000.0, 3_000.0, 10_000.0])
@pytest.mark.parametrize("leader_first", [True, False])
@pytest.mark.parametrize(("size", "voters"), SIZES)
def test_changes_are_accepted_once_disks_that_were_full_in_turn_have_room(
    monkeypatch: pytest.MonkeyPatch, size: int, voters: int, leader_first: bool, gap_ms: float
) -> None:
    # Guards against a replica that does not take part any more after a failed write, so that the
    # failures of several disks, never at the same time, add up to a lost quorum.
    net = formed_net(monkeypatch, int(gap_ms), size, voters)
    nodes = sorted(net.nodes, key=lambda node: (node in net.leaders()) != leader_first)
    client, version = NodeId("x:1"), 1
    net.start_control(client, bootstrap=False, disk=False)
    for _ in range(2):
        for node in nodes:
            net.fill_disk(node)
            version = send_changes(net, client, version, FULL_MS + REOPEN_MS)
            net.open_again(node)
            version = send_changes(net, client, version, gap_ms)
    net.run(ACK_MS)
    name = net.replace(client, version + 1, b"last")
    net.run(ACK_MS)
    assert net.answers[name] == ReplaceResult(ReplaceStatus.STORED, version + 1)
    net.run(2 * ACK_MS)
    assert len(net.voters_of(net.leaders()[0])) == voters
