"""Control replica: log, store and lease timer combined."""

from __future__ import annotations

from random import Random
from typing import Any

from goldcrestridge_core import codec
from goldcrestridge_core.log import open_log
from goldcrestridge_core.log_records import Recovered
from goldcrestridge_core.log_types import (
    LogSynced,
    Propose,
    ProposeReply,
    Query,
    QueryReply,
    Replica,
    WallTime,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.replica import ControlReplica
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import AcquireLease, ApplyConfig, CommandRefused, QueryLease
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_lab.store_machine import check_document

NODE = NodeId("n1")


class SingleReplica:
    """Group of one replica, whose disk completes each write immediately."""

    def __init__(self) -> None:
        store = Store(check_document)
        log = open_log(Replica(NODE, "i"), Recovered(), store, Random(1), 0.0, (NODE,))
        self.replica = ControlReplica(log, store)
        self.now_ms = 0.0
        self.handle(WallTime(1e12))

    def handle(self, event: Any) -> list[Any]:
        messages: list[Any] = []
        events = [event]
        while events:
            for effect in self.replica.handle(events.pop(0), self.now_ms):
                if isinstance(effect, WriteLog | WriteSnapshot):
                    events.append(LogSynced(effect.token))
                elif isinstance(effect, Send) and effect.to != NODE:
                    messages.append(effect.message)
                else:
                    assert not isinstance(effect, Send)
        return messages

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 10.0
            self.handle(Tick())

    def propose(self, proposal_id: str, command: Any) -> Any:
        (reply,) = self.handle(Receive(NodeId("x"), Propose(proposal_id, codec.encode(command))))
        assert isinstance(reply, ProposeReply)
        return codec.decode(reply.result).unwrap()


def test_a_lease_that_is_not_renewed_is_expired_by_the_leader() -> None:
    # Guards against a shard that has no owner after its node failed.
    single = SingleReplica()
    single.run(3000)
    result = single.propose("p1", AcquireLease("p/0", NodeId("x"), 2000.0))
    assert result.granted
    for _ in range(3):
        single.run(1500)
        assert single.propose(
            "p2", AcquireLease("p/0", NodeId("x"), 2000.0, result.fencing)
        ).granted
    assert not single.propose("p3", AcquireLease("p/0", NodeId("y"), 2000.0)).granted
    single.run(2700)
    assert single.propose("p4", AcquireLease("p/0", NodeId("y"), 2000.0)).fencing > result.fencing


def test_queries_are_answered_and_malformed_commands_never_enter_the_log() -> None:
    # Guards against a committed command that no replica can apply.
    single = SingleReplica()
    single.run(3000)
    last = single.replica.log.state.entries.last_index
    (reply,) = single.handle(Receive(NodeId("x"), Propose("p", b"rubbish")))
    assert isinstance(codec.decode(reply.result).unwrap(), CommandRefused)
    assert single.replica.log.state.entries.last_index == last
    query = Query("q", codec.encode(QueryLease("p/0")))
    (answer,) = single.handle(Receive(NodeId("x"), query))
    assert isinstance(answer, QueryReply)
    assert answer.answered
    assert single.propose("c", ApplyConfig("c", 0, "ada", b"one")).version == 1
    assert single.replica.store.time_ms > 1e12
