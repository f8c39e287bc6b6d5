"""Requests, and parts of prompts, under which upstreams crash.

Load pattern: requests that share one part of their prompts arrive at any entry node, and each
crashes the upstream that begins to answer it, with everything else that runs there. Other requests
share the remaining parts and are sound. Ordinary crashes, releases and losses of power go on
beside.

Evidence is a run of an upstream that ended while it had not shown that it can answer a request. All
parts of that request are suspects. An answer clears the parts of its prompt. The part that most
crashes have in common explains them, so that requests which merely waited at the same upstream
need evidence of their own. Parts that always came together are blocked together only: a request
with one of them passes, and shows which one it is.

The name of a request is one more part: that of the whole, which can crash an upstream by its own
text. It is blocked where no part of the prompt explains the crashes. Its crashes count if each run
began after the crash before, since copies of a sound request end together when power is lost.

Each entry node decides by its own evidence, and the control leader by that of all nodes.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Iterable

from attrs import define, evolve, field

from goldcrestridge_core.answered_parts import AnsweredParts
from goldcrestridge_core.follow_types import AnsweredPart, BlockedParts, PromptCrash, Workload
from goldcrestridge_core.request_keys import is_request_key

# Crashes that block a part which was never answered. With fewer, ordinary crashes would do it.
MIN_CRASHES = 3
# Crashes that block a part which was answered before the first of them.
MIN_CRASHES_KNOWN = 5
# The loss of many upstreams at once is one event for parts that all of them hold.
MIN_MOMENTS_KNOWN = 3
MOMENT_MS = 500.0
# Crashes that block requests which all ran at the same upstreams, of which one may be to blame.
MIN_CRASHES_TOGETHER = 5
# Error of the times that other nodes report, which is that of a message on its way.
CLOCK_TOLERANCE_MS = 5.0
# Crashes that keep a request with a part which was never answered from being tried again.
MIN_CRASHES_SUSPECT = 2
EVIDENCE_MS = 120_000.0
# A blocked part is let through again this long after its last crash. The next crash blocks it.
BLOCK_MS = 600_000.0
REMEMBER_MS = 86_400_000.0
# An answer that goes on for this long shows that the upstream does not crash as it begins.
PROOF_MS = 500.0
SUSPECTS_INTERVAL_MS = 50.0
# Bounds on the memory and on messages.
MAX_CRASHES = 128
MAX_SHARED_CRASHES = 32
MAX_PARTS = 64
MAX_BLOCKED = 64
MAX_SUSPECTS = 128
# A longer id is replaced by a digest.
MAX_ID_CHARS = 32

Parts = tuple[str, ...]


def part_key(part: str) -> str:
    """Return a short name of a part of a prompt."""
    if len(part) <= MAX_ID_CHARS:
        return part
    return "#" + hashlib.blake2b(part.encode("utf-8", "replace"), digest_size=15).hexdigest()


@define
class _Crash:
    """A run that ended under a request; ``known`` are the parts that were answered before.

    ``suspects`` are the parts that were not answered since.
    """

    run: str
    parts: Parts
    known: frozenset[str]
    at_ms: float
    began_ms: float  # When the request was sent.
    suspects: set[str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspects = set(self.parts)


@define
class PromptCrashes:
    """Crashes by part of the prompt, and the parts that are blocked; times are monotonic ms.

    ``_blocked`` holds sets of parts with the time of their last crash. A request is blocked if it
    has all parts of a set. ``_fleet_blocked`` and ``_fleet_suspects`` are those that the control
    leader named last.
    """

    _crashes: dict[tuple[str, Parts], _Crash] = field(factory=dict)
    _answered: AnsweredParts = field(factory=AnsweredParts)
    _blocked: dict[frozenset[str], float] = field(factory=dict)
    _fleet_blocked: dict[frozenset[str], float] = field(factory=dict)
    _fleet_suspects: frozenset[str] = frozenset()
    _suspects: Parts = ()
    _suspects_ms: float = -math.inf  # When they were collected.

    # Evidence.

    def record_crash(
        self, run: str, parts: Iterable[str], now_ms: float, began_ms: float | None = None
    ) -> None:
        """Record that a run of an upstream ended before it answered a prompt with these parts.

        The request was sent at ``began_ms``, by default now.
        """
        all_parts = list(dict.fromkeys(parts))
        known = frozenset(part for part in all_parts if part in self._answered)
        # The request itself, and parts that were never answered, are the likely ones.
        all_parts.sort(key=lambda part: (not is_request_key(part), part in known))
        kept = tuple(all_parts[:MAX_PARTS])
        sent_ms = now_ms if began_ms is None else began_ms
        self._add(_Crash(run, kept, known & set(kept), now_ms, sent_ms))
        self._block(now_ms)

    def record_answer(self, parts: Collection[str], began_ms: float) -> None:
        """Record that an upstream answered a prompt with these parts, from ``began_ms`` on."""
        for part in parts:
            self._answered.record(part, began_ms)
        # The answers of a part can be forgotten, what they cleared must not come back.
        for crash in self._crashes.values():
            if crash.at_ms < began_ms:
                crash.suspects.difference_update(parts)
        if self._blocked:
            self._blocked = self._cleared(self._blocked)
        if self._fleet_blocked:
            self._fleet_blocked = self._cleared(self._fleet_blocked)

    def _add(self, crash: _Crash) -> bool:
        """Add a crash; return False if it is known already."""
        key = crash.run, crash.parts
        if key in self._crashes or not crash.parts:
            return False
        self._crashes[key] = crash
        for table in (self._blocked, self._fleet_blocked):
            for parts, at_ms in table.items():
                if parts <= crash.suspects:
                    table[parts] = max(at_ms, crash.at_ms)
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        return True

    def _cleared(self, blocked: dict[frozenset[str], float]) -> dict[frozenset[str], float]:
        """Return sets of blocked parts without the parts that were answered since."""
        left: dict[frozenset[str], float] = {}
        for parts, at_ms in blocked.items():
            rest = frozenset(part for part in parts if self._answered.last_ms(part) <= at_ms)
            if rest:
                left[rest] = max(at_ms, left.get(rest, -math.inf))
        return left

    # Decisions.

    def blocked_by(self, parts: Parts, now_ms: float) -> frozenset[str] | None:
        """Return blocked parts that a prompt has all of, or None."""
        if not (self._blocked or self._fleet_blocked):
            return None
        own = set(parts)
        for table in (self._fleet_blocked, self._blocked):
            for blocked, at_ms in table.items():
                if blocked <= own and now_ms - at_ms < BLOCK_MS:
                    return blocked
        return None

    def fleet_blocked(self, now_ms: float) -> frozenset[frozenset[str]]:
        """Return the sets of parts that the control leader names as blocked."""
        return _in_force(self._fleet_blocked, now_ms)

    def left_ms(self, blocked: frozenset[str], now_ms: float) -> float:
        """Return for how long parts stay blocked if there is no further crash."""
        tables = (self._fleet_blocked, self._blocked)
        at_ms = max(table.get(blocked, -math.inf) for table in tables)
        return max(0.0, at_ms + BLOCK_MS - now_ms)

    def may_retry(self, parts: Parts, now_ms: float) -> bool:
        """Return whether a request under which an upstream crashed may be tried once more."""
        fresh = [part for part in parts if part not in self._answered]
        if not fresh:
            return True
        runs = self._runs(now_ms)
        return not any(
            part in self._fleet_suspects or len(runs.get(part, ())) >= MIN_CRASHES_SUSPECT
            for part in fresh
        )

    def _recent(self, now_ms: float) -> list[_Crash]:
        """Return the crashes that still count, and forget the others."""
        self._crashes = {
            key: crash for key, crash in self._crashes.items() if now_ms - crash.at_ms < EVIDENCE_MS
        }
        return list(self._crashes.values())

    def _runs(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Return, for each part, the runs that crashed under it since its last answer."""
        runs: dict[str, dict[str, float]] = {}
        for crash in self._recent(now_ms):
            for part in crash.suspects:
                if crash.at_ms > self._answered.last_ms(part):
                    runs.setdefault(part, {}).setdefault(crash.run, crash.at_ms)
        return runs

    def _known(self) -> set[str]:
        """Return the suspects that some node saw answered at any time."""
        known = {part for crash in self._crashes.values() for part in crash.known}
        return known | {
            part
            for crash in self._crashes.values()
            for part in crash.parts
            if part in self._answered
        }

    def _block(self, now_ms: float) -> None:
        """Block the parts that explain crashes, those of most crashes first."""
        runs = self._runs(now_ms)
        known = self._known()
        left = {part: set(times) for part, times in runs.items()}
        while True:
            enough = {
                part: found
                for part, found in left.items()
                if self._suffices(part, found, runs[part], part in known)
            }
            if not enough:
                return
            most = max(len(found) for found in enough.values())
            first = min(part for part, found in enough.items() if len(found) == most)
            explained = enough[first]
            tied = {part for part, found in enough.items() if found == explained}
            # A part of the prompts explains the crashes of all requests with it.
            tied = {part for part in tied if not is_request_key(part)} or tied
            last_ms = max(runs[first][run] for run in explained)
            sets = self._sets_of(tied)
            if len(sets) > 1 and is_request_key(first) and len(explained) < MIN_CRASHES_TOGETHER:
                sets = []
            for parts in sets:
                self._blocked[parts] = max(last_ms, self._blocked.get(parts, -math.inf))
            while len(self._blocked) > MAX_BLOCKED:
                del self._blocked[min(self._blocked, key=lambda key: self._blocked[key])]
            left = {part: found - explained for part, found in left.items()}

    def _suffices(self, part: str, found: set[str], times: dict[str, float], known: bool) -> bool:
        """Return whether the crashes of some runs are enough to block a part."""
        if not is_request_key(part):
            return _suffices(found, times, known)
        spans = [
            (crash.at_ms, crash.began_ms)
            for crash in self._crashes.values()
            if crash.run in found and part in crash.suspects
        ]
        return _count_successive(spans) >= (MIN_CRASHES_KNOWN if known else MIN_CRASHES)

    def _sets_of(self, tied: set[str]) -> list[frozenset[str]]:
        """Return, for parts with the same crashes, those that came together in all requests.

        A set within another one is left out: it would block requests that may crash nothing.
        """
        together = {frozenset(tied.intersection(crash.parts)) for crash in self._crashes.values()}
        sets = {
            frozenset(tied).intersection(*(found for found in together if part in found))
            for part in tied
        }
        maximal = [item for item in sets if not any(item < other for other in sets)]
        return sorted(maximal, key=sorted)

    # Messages between entry nodes and the control leader.

    def add_report(self, workload: Workload, now_ms: float) -> Workload:
        """Return the report of an entry node with what it knows of crashes.

        It names the parts that a leader had blocked, not those that it blocks by its own evidence,
        since other nodes may have seen them answered.
        """
        self._expire(now_ms)
        crashes = self._recent(now_ms)[-MAX_SHARED_CRASHES:]
        return evolve(
            workload,
            crashes=tuple(
                PromptCrash(
                    item.run,
                    item.parts,
                    tuple(sorted(item.known)),
                    now_ms - item.at_ms,
                    item.at_ms - item.began_ms,
                )
                for item in crashes
            ),
            answers=self._shared_answers(now_ms),
            blocked=_shared_blocked(self._fleet_blocked, now_ms),
        )

    def add_reply(self, workload: Workload, now_ms: float) -> Workload:
        """Return the control leader's reply with what the nodes need to know of crashes."""
        self._expire(now_ms)
        return evolve(
            workload,
            answers=self._shared_answers(now_ms),
            blocked=_shared_blocked(self._blocked, now_ms),
            suspects=self.suspects(now_ms),
        )

    def digest(self, now_ms: float) -> str:
        """Return a text that differs if other parts are blocked."""
        blocked = _in_force(self._blocked, now_ms)
        return ", ".join(sorted(" ".join(sorted(parts)) for parts in blocked))

    def _shared_answers(self, now_ms: float) -> tuple[AnsweredPart, ...]:
        return tuple(
            AnsweredPart(part, now_ms - self._answered.last_ms(part))
            for part in self.suspects(now_ms)
            if part in self._answered
        )

    def suspects(self, now_ms: float) -> Parts:
        """Return the parts of which it matters whether they were answered.

        They are collected at most once in SUSPECTS_INTERVAL_MS, since the leader is asked for them
        with each poll of each node.
        """
        if now_ms - self._suspects_ms < SUSPECTS_INTERVAL_MS:
            return self._suspects
        self._suspects_ms = now_ms
        runs = self._runs(now_ms) if self._crashes else {}
        found = {part for part, times in runs.items() if len(times) >= MIN_CRASHES_SUSPECT}
        for parts in (*self._blocked, *self._fleet_blocked):
            found |= parts
        self._suspects = tuple(sorted(found | self._fleet_suspects)[:MAX_SUSPECTS])
        return self._suspects

    def merge_report(self, workload: Workload, now_ms: float) -> None:
        """Apply the report of an entry node at the control leader."""
        self._merge_answers(workload, now_ms)
        added = [
            self._add(
                _Crash(
                    crash.run,
                    crash.parts,
                    frozenset(crash.known),
                    now_ms - crash.age_ms,
                    now_ms - crash.age_ms - crash.took_ms,
                )
            )
            for crash in workload.crashes
        ]
        if any(added):
            self._block(now_ms)
        for item in workload.blocked:
            # What a former leader blocked holds on, unless this one knows of an answer.
            if not any(part in self._answered for part in item.parts):
                self._blocked.setdefault(frozenset(item.parts), now_ms - item.age_ms)

    def merge_reply(self, workload: Workload, now_ms: float) -> None:
        """Apply what the control leader knows of all nodes at an entry node."""
        self._merge_answers(workload, now_ms)
        blocked = {frozenset(item.parts): now_ms - item.age_ms for item in workload.blocked}
        self._fleet_blocked = self._cleared(blocked)
        self._fleet_suspects = frozenset(workload.suspects)

    def _merge_answers(self, workload: Workload, now_ms: float) -> None:
        """Apply what other nodes saw answered, also before the crashes."""
        heard = {item.part for item in workload.answers if item.part not in self._answered}
        for item in workload.answers:
            self.record_answer((item.part,), now_ms - item.age_ms)
        doubtful = [parts for parts in self._blocked if heard & parts]
        if doubtful:
            # Parts that were answered before need more crashes than were counted for them.
            for parts in doubtful:
                del self._blocked[parts]
            self._block(now_ms)

    def _expire(self, now_ms: float) -> None:
        for table in (self._blocked, self._fleet_blocked):
            for parts in [key for key, at_ms in table.items() if now_ms - at_ms >= REMEMBER_MS]:
                del table[parts]


def _in_force(blocked: dict[frozenset[str], float], now_ms: float) -> frozenset[frozenset[str]]:
    return frozenset(parts for parts, at_ms in blocked.items() if now_ms - at_ms < BLOCK_MS)


def _shared_blocked(
    blocked: dict[frozenset[str], float], now_ms: float
) -> tuple[BlockedParts, ...]:
    return tuple(
        BlockedParts(tuple(sorted(parts)), now_ms - at_ms)
        for parts, at_ms in sorted(blocked.items(), key=lambda item: sorted(item[0]))
    )


def _suffices(found: set[str], times: dict[str, float], known: bool) -> bool:
    """Return whether the crashes of some runs are enough to block a part of prompts."""
    if not known:
        return len(found) >= MIN_CRASHES
    if len(found) < MIN_CRASHES_KNOWN:
        return False
    moments, last_ms = 0, -math.inf
    for at_ms in sorted(times[run] for run in found):
        if at_ms - last_ms >= MOMENT_MS:
            moments, last_ms = moments + 1, at_ms
    return moments >= MIN_MOMENTS_KNOWN


def _count_successive(spans: list[tuple[float, float]]) -> int:
    """Return the most runs, as (end, begin), of which each began after the end of the one before.

    Times of other nodes are off by the age of a message.
    """
    count, last_ms = 0, -math.inf
    for end_ms, begin_ms in sorted(spans):
        if begin_ms >= last_ms - CLOCK_TOLERANCE_MS:
            count, last_ms = count + 1, end_ms
    return count
