"""Report on requests from the logs of entry nodes: what became of them, by route and second."""

from __future__ import annotations

import enum
import re
from collections import Counter
from collections.abc import Iterable
from typing import Any

import msgspec
from attrs import define, field

from goldcrestridge_core.decoding import decode_json

# An event of a log line that does not begin with the JSON object, such as one with a prefix of the
# log collector.
_OBJECT = re.compile(r"\{.*\}\s*$")
_DENIED = re.compile(r"denied (\d+)ms none of (\d+) engines can start in (\d+) ms, (\w+)")
_WHOLE_SECONDS = re.compile(r"T\d\d:\d\d:\d\d")


class Fate(enum.Enum):
    """What became of a request, as far as its entry node saw it."""

    ON_TIME = "on_time"
    LATE_FIRST_EVENT = "late_first_event"
    LATE_GAP = "late_gap"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_GONE = "caller_gone"


class RequestLine(msgspec.Struct):
    """The fields of a log line of a request that the report uses."""

    event: str
    timestamp: str = ""
    route: str = ""
    outcome: str = ""
    reason: str = ""
    first_ms: float | None = None
    took_ms: float = 0.0
    longest_gap_ms: float = 0.0
    target_ms: float = 0.0
    max_gap_ms: float = 0.0
    prompt_tokens: int = 0
    admissions: list[str] = []
    attempts: list[str] = []
    fetches: list[str] = []

    @property
    def fate(self) -> Fate:
        """Return what became of the request."""
        if self.outcome == "refused":
            return Fate.REFUSED
        if self.outcome == "caller_gone":
            return Fate.CALLER_GONE
        if self.outcome != "passed_on":
            return Fate.FAILED
        first_ms = self.took_ms if self.first_ms is None else self.first_ms
        if self.target_ms and first_ms > self.target_ms:
            return Fate.LATE_FIRST_EVENT
        if self.max_gap_ms and self.longest_gap_ms > self.max_gap_ms:
            return Fate.LATE_GAP
        return Fate.ON_TIME


@define
class RouteSummary:
    """Requests of one route by second, and why they were refused or late.

    ``refusals`` counts the causes, ``late_by_engine`` the late requests by the upstream that
    answered. ``retried`` were sent more than once, and ``fetched`` got parts from another engine.
    """

    seconds: dict[str, Counter[Fate]] = field(factory=dict)
    refusals: Counter[str] = field(factory=Counter)
    retried: int = 0
    fetched: int = 0
    late_by_engine: Counter[str] = field(factory=Counter)

    @property
    def total(self) -> Counter[Fate]:
        """Return the requests of all seconds."""
        return sum(self.seconds.values(), Counter())

    def add(self, line: RequestLine) -> None:
        """Add a request."""
        match = _WHOLE_SECONDS.search(line.timestamp)
        second = match.group(0)[1:] if match else "unknown"
        self.seconds.setdefault(second, Counter())[line.fate] += 1
        sent = [attempt for attempt in line.attempts if " denied " not in attempt]
        self.retried += len(sent) > 1
        self.fetched += bool(line.fetches)
        if line.fate is Fate.REFUSED:
            self.refusals[_refusal_cause(line)] += 1
        if line.fate in (Fate.LATE_FIRST_EVENT, Fate.LATE_GAP) and line.attempts:
            self.late_by_engine[f"{line.fate.value} {line.attempts[-1].split()[0]}"] += 1


def _refusal_cause(line: RequestLine) -> str:
    """Return the cause of a refusal; for engines, whether the forecast exceeded the longest wait.

    A request whose forecast was within it yielded to more urgent ones, or found no room at the
    engines that it asked after the first.
    """
    for attempt in line.attempts:
        denied = _DENIED.search(attempt)
        if denied:
            wait_ms, _, longest_ms, cause = denied.groups()
            bound = "over" if float(wait_ms) > float(longest_ms) else "within"
            return f"engines busy ({cause}, forecast {bound} the longest wait)"
    return line.reason or "unknown"


def read_requests(lines: Iterable[str]) -> tuple[dict[str, RouteSummary], int]:
    """Return the summary of each route, and the number of lines that are no log lines."""
    summaries: dict[str, RouteSummary] = {}
    unreadable = 0
    for text in lines:
        found = _OBJECT.search(text)
        line = decode_json(found.group(0).encode(), RequestLine).value_or(None) if found else None
        if line is None:
            unreadable += 1
        elif line.event == "request":
            summaries.setdefault(line.route or "(no route)", RouteSummary()).add(line)
    return summaries, unreadable


def table(summaries: dict[str, RouteSummary], by_second: bool) -> list[str]:
    """Return the lines of the report."""
    names = [fate.value for fate in Fate]
    lines = [f"{'route':24} {'requests':>9} " + " ".join(f"{name:>16}" for name in names)]
    for route, summary in sorted(summaries.items()):
        lines.append(_row(route, summary.total))
        if by_second:
            lines += [_row(f"  {at}", counts) for at, counts in sorted(summary.seconds.items())]
        lines += [f"  refused {count}: {cause}" for cause, count in summary.refusals.most_common()]
        lines += [f"  {count} {name}" for name, count in summary.late_by_engine.most_common()]
        if summary.retried or summary.fetched:
            lines.append(f"  retried {summary.retried}, with fetched parts {summary.fetched}")
    return lines


def _row(name: str, counts: Counter[Fate]) -> str:
    cells = " ".join(f"{counts[fate]:16}" for fate in Fate)
    return f"{name:24} {counts.total():9} {cells}"


def as_data(summaries: dict[str, RouteSummary]) -> dict[str, Any]:
    """Return the report as JSON objects."""
    return {
        route: {
            "total": _counts(summary.total),
            "seconds": {at: _counts(counts) for at, counts in sorted(summary.seconds.items())},
            "refusals": dict(summary.refusals),
            "late": dict(summary.late_by_engine),
            "retried": summary.retried,
            "fetched": summary.fetched,
        }
        for route, summary in sorted(summaries.items())
    }


def _counts(counts: Counter[Fate]) -> dict[str, int]:
    return {fate.value: counts[fate] for fate in Fate if counts[fate]}
