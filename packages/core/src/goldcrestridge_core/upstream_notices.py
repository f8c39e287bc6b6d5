"""Notices of upstream instances: that they leave, or that they want no requests for a time.

Traffic patterns that the notices handle:
- A release: an instance says in its answers that it leaves, before the list of instances shows it.
  It gets no more requests while another instance is usable. If all of them leave at once, they are
  used for a part of the time for which they go on serving.
- Overload: an instance rejects a request and asks this node to stay away. It gets nothing from this
  node until then. Other nodes prefer other instances, but may use it, because an instance that
  rejects the requests of one node can still take those of another.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterable

from attrs import define, field, frozen

from goldcrestridge_core.follow_types import (
    LeavingNotice,
    RestNotice,
    UpstreamInstance,
    Workload,
)

# Share of the drain time for which a leaving instance is used while no other instance is left. The
# rest covers requests that callers sent before its end, and nodes that learn of it late.
LAST_RESORT_SHARE = 0.5
# A longer rest counts as this one, so that a wrong value does not take an instance out for good.
MAX_REST_MS = 120_000.0
# A rest is prolonged by a random part of up to this share, so that nodes do not all return at once.
REST_JITTER_SHARE = 0.2
# What an instance said is kept for this long after it was last listed, since an entry of the list
# can be missing or unreadable for some polls.
UNLISTED_KEEP_MS = 30_000.0
# An instance that was off the list for this long and is listed again has been started again.
RESTART_GAP_MS = 5_000.0
# Bounds the notices of each kind in one message. More instances leave at once only in a release of
# a large service, which the list of instances shows within its own lag.
MAX_SHARED = 32
# Callers that are refused because all instances rest return within this share of the rest after its
# end, the urgent ones in the first half.
RETURN_SHARE = 0.25
MIN_RETURN_MS = 100.0


class NoticeChange(enum.Enum):
    """What an answer or a peer changed in the state of an instance."""

    LEAVES = "leaves"
    STAYS = "stays"  # A later run under the same name does not leave.
    RESTS = "rests"


class Usability(enum.IntEnum):
    """How far an instance may be used; lower values are preferred."""

    FREE = 0
    RESTS_FOR_PEERS = 1  # It asked other nodes to stay away.
    LAST_RESORT = 2  # It leaves, but goes on serving for some time.
    NONE = 3


@define
class _Life:
    """What one run of an instance said; times are monotonic milliseconds."""

    leaving_since_ms: float = math.inf  # Arrival of the first answer that said so.
    leaving_answered_ms: float = -math.inf  # Arrival of the last one.
    rest_until_ms: float = -math.inf  # Asked of this node.
    peer_rest_until_ms: float = -math.inf  # Asked of another node.
    began_ms: float = -math.inf  # Answers to earlier requests came from a former run.
    unlisted_ms: float = math.inf  # When the instance left the list.
    listed_leaving: bool = False

    @property
    def leaves(self) -> bool:
        return self.leaving_since_ms < math.inf

    def rest_left_ms(self, now_ms: float) -> float:
        """Return how long this or another node should stay away, or a time in the past."""
        return max(self.rest_until_ms, self.peer_rest_until_ms) - now_ms


@frozen
class Avoidance:
    """Why an instance is avoided; ``leaving_age_ms`` is None if it rests."""

    instance: str
    leaving_age_ms: float | None
    rest_left_ms: float

    def __str__(self) -> str:
        """Return a short text for the request log."""
        if self.leaving_age_ms is not None:
            return f"{self.instance} leaving, heard {self.leaving_age_ms:.0f}ms ago"
        return f"{self.instance} rests for {self.rest_left_ms:.0f}ms"


@define
class UpstreamNotices:
    """Notices of all instances, as this node and its peers heard them.

    ``drain_ms`` is the time for which a leaving instance goes on serving.
    """

    rng: random.Random
    drain_ms: float = 3_000.0
    _lives: dict[str, _Life] = field(factory=dict)
    _quiet_from_ms: float = -math.inf  # From then on no known notice is in force.
    _merged: bool = False  # The notices of other nodes were applied at least once.

    def set_listed(self, instances: Iterable[UpstreamInstance], now_ms: float) -> None:
        """Apply a new list of instances.

        An instance that is listed as ready after it was listed as leaving, or was not listed for a
        time, has been started again, and what it said before no longer holds. If the list tells
        when runs were started, it is the same run, and a rest that it asked for goes on.
        """
        listed = {item.life: item for item in instances}
        for name, item in listed.items():
            life = self._lives.setdefault(name, _Life())
            was_gone = now_ms - life.unlisted_ms >= RESTART_GAP_MS
            if not item.leaving and (life.listed_leaving or was_gone):
                rest_until_ms = life.rest_until_ms if item.born else -math.inf
                life = self._lives[name] = _Life(rest_until_ms=rest_until_ms, began_ms=now_ms)
            life.unlisted_ms, life.listed_leaving = math.inf, item.leaving
        for name, life in self._lives.items():
            if name not in listed:
                life.unlisted_ms = min(life.unlisted_ms, now_ms)
        self._lives = {
            name: life
            for name, life in self._lives.items()
            if now_ms - life.unlisted_ms < UNLISTED_KEEP_MS or life.rest_until_ms > now_ms
        }
        ends = (max(life.rest_until_ms, life.peer_rest_until_ms) for life in self._lives.values())
        leaves = any(life.leaves for life in self._lives.values())
        self._quiet_from_ms = math.inf if leaves else max(ends, default=-math.inf)

    def is_quiet(self, now_ms: float) -> bool:
        """Return whether no notice is in force."""
        return now_ms >= self._quiet_from_ms

    def observe(
        self,
        item: UpstreamInstance,
        leaving: bool,
        rest_ms: float,
        sent_ms: float,
        now_ms: float,
    ) -> list[NoticeChange]:
        """Apply an answer that arrived now to a request that was sent at ``sent_ms``.

        A second rest never shortens the first one. Only an answer to a request that was sent after
        the instance had said that it leaves shows that a later run does not.
        """
        life = self._lives.setdefault(item.life, _Life(unlisted_ms=now_ms))
        changes: list[NoticeChange] = []
        if sent_ms < life.began_ms:
            return changes
        if leaving:
            if not life.leaves:
                life.leaving_since_ms = now_ms
                changes.append(NoticeChange.LEAVES)
            life.leaving_answered_ms = now_ms
            self._quiet_from_ms = math.inf
        elif life.leaves and sent_ms >= life.leaving_answered_ms:
            life.leaving_since_ms, life.began_ms = math.inf, now_ms
            changes.append(NoticeChange.STAYS)
        if rest_ms > 0.0:
            if life.rest_until_ms <= now_ms:
                changes.append(NoticeChange.RESTS)
            jitter = 1.0 + REST_JITTER_SHARE * self.rng.random()
            until_ms = now_ms + min(rest_ms, MAX_REST_MS) * jitter
            life.rest_until_ms = max(life.rest_until_ms, until_ms)
            self._quiet_from_ms = max(self._quiet_from_ms, until_ms)
        return changes

    def merge(self, workload: Workload, now_ms: float) -> list[tuple[str, NoticeChange]]:
        """Apply the notices of other nodes; return the runs that are now known to leave.

        The first of them also hold the rests that the former process of this node was asked for.
        A notice that an instance of this node's list gave before its last start is ignored.
        """
        changes = []
        for notice in workload.leaving:
            life = self._lives.setdefault(notice.life, _Life(unlisted_ms=now_ms))
            answered_ms = now_ms - notice.last_age_ms
            if answered_ms <= life.began_ms:
                continue
            if not life.leaves:
                # Set once, since the delay of messages makes each copy of the time a little later.
                life.leaving_answered_ms = answered_ms
                changes.append((notice.life, NoticeChange.LEAVES))
            life.leaving_since_ms = min(life.leaving_since_ms, now_ms - notice.first_age_ms)
            self._quiet_from_ms = math.inf
        # Only a process that has just started has forgotten rests. Later on, the leader's copy of a
        # rest would prolong it by the delay of the messages.
        forgotten = () if self._merged else workload.own_rests
        self._merged = True
        for rest in forgotten:
            life = self._lives.setdefault(rest.life, _Life(unlisted_ms=now_ms))
            life.rest_until_ms = max(life.rest_until_ms, now_ms + rest.left_ms)
            self._quiet_from_ms = max(self._quiet_from_ms, life.rest_until_ms)
        for rest in workload.rests:
            life = self._lives.setdefault(rest.life, _Life(unlisted_ms=now_ms))
            life.peer_rest_until_ms = max(life.peer_rest_until_ms, now_ms + rest.left_ms)
            self._quiet_from_ms = max(self._quiet_from_ms, life.peer_rest_until_ms)
        return changes

    def shared(self, now_ms: float) -> tuple[tuple[LeavingNotice, ...], tuple[RestNotice, ...]]:
        """Return the notices that other nodes should know.

        Leaving instances are left out once the list shows them, which all nodes get.
        """
        leaving = [
            # Whole milliseconds take a third of the bytes.
            LeavingNotice(
                name,
                round(now_ms - life.leaving_since_ms),
                round(now_ms - life.leaving_answered_ms),
            )
            for name, life in self._lives.items()
            if life.leaves
            and not life.listed_leaving
            and now_ms - life.unlisted_ms < UNLISTED_KEEP_MS
        ]
        rests = [
            RestNotice(name, math.ceil(life.rest_until_ms - now_ms))
            for name, life in self._lives.items()
            if life.rest_until_ms > now_ms
        ]
        leaving.sort(key=lambda notice: notice.first_age_ms)
        rests.sort(key=lambda notice: -notice.left_ms)
        return tuple(leaving[:MAX_SHARED]), tuple(rests[:MAX_SHARED])

    def usability(self, item: UpstreamInstance, now_ms: float) -> Usability:
        """Return how far an instance may be used; the list may say less about it."""
        life = self._lives.get(item.life)
        if life is None:
            return Usability.NONE if item.leaving else Usability.FREE
        if item.leaving or life.rest_until_ms > now_ms:
            return Usability.NONE
        if life.leaves:
            in_time = now_ms - life.leaving_since_ms < LAST_RESORT_SHARE * self.drain_ms
            return Usability.LAST_RESORT if in_time else Usability.NONE
        rests = life.peer_rest_until_ms > now_ms
        return Usability.RESTS_FOR_PEERS if rests else Usability.FREE

    def preferred(self, items: Iterable[UpstreamInstance], now_ms: float) -> list[UpstreamInstance]:
        """Return the most usable of some instances; none of those that must not be used."""
        if self.is_quiet(now_ms):
            return [item for item in items if not item.leaving]
        levels: dict[Usability, list[UpstreamInstance]] = {}
        for item in items:
            levels.setdefault(self.usability(item, now_ms), []).append(item)
        levels.pop(Usability.NONE, None)
        return levels[min(levels)] if levels else []

    def rest_left_ms(self, item: UpstreamInstance, now_ms: float) -> float | None:
        """Return for how long an instance of the list that stays wants no requests, or None."""
        life = None if self.is_quiet(now_ms) else self._lives.get(item.life)
        if life is None or item.leaving or life.leaves or life.rest_until_ms <= now_ms:
            return None
        return life.rest_until_ms - now_ms

    def avoidance(self, item: UpstreamInstance, now_ms: float) -> Avoidance | None:
        """Return why an instance is avoided, or None if no notice speaks against it."""
        life = None if self.is_quiet(now_ms) else self._lives.get(item.life)
        if life is None or not (life.leaves or life.rest_left_ms(now_ms) > 0.0):
            return None
        age_ms = now_ms - life.leaving_since_ms if life.leaves else None
        return Avoidance(item.instance, age_ms, max(0.0, life.rest_left_ms(now_ms)))


def merge_notices(
    workloads: Iterable[tuple[Workload, float]],
) -> tuple[tuple[LeavingNotice, ...], tuple[RestNotice, ...]]:
    """Return one notice of each kind for each run; each workload comes with its age in ms."""
    leaving: dict[str, LeavingNotice] = {}
    rests: dict[str, RestNotice] = {}
    for workload, age_ms in workloads:
        for notice in workload.leaving:
            known = leaving.get(notice.life)
            first_ms, last_ms = notice.first_age_ms + age_ms, notice.last_age_ms + age_ms
            if known is not None:
                first_ms = max(first_ms, known.first_age_ms)
                last_ms = min(last_ms, known.last_age_ms)
            leaving[notice.life] = LeavingNotice(notice.life, first_ms, last_ms)
        for rest in workload.rests:
            left_ms = rest.left_ms - age_ms
            previous = rests.get(rest.life)
            if left_ms > 0.0 and (previous is None or previous.left_ms < left_ms):
                rests[rest.life] = RestNotice(rest.life, left_ms)
    return (
        tuple(notice for _, notice in sorted(leaving.items())),
        tuple(notice for _, notice in sorted(rests.items())),
    )


def return_delay_ms(rest_left_ms: float, rank_share: float, spread: float) -> float:
    """Return after which time a caller returns that was refused while all instances rest.

    ``rank_share`` is 0 for the most urgent requests and 1 for the least urgent ones, ``spread`` a
    random number from 0 to 1.
    """
    window_ms = max(MIN_RETURN_MS, RETURN_SHARE * rest_left_ms)
    return rest_left_ms + window_ms * (rank_share + spread) / 2.0
