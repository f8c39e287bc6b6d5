"""Detection of upstreams that are slower than their peers."""

from __future__ import annotations

import enum
import statistics
from collections import deque

from attrs import define, field

from goldcrestridge_core.types import UpstreamId

SAMPLES = 16
MIN_SAMPLES = 3
MIN_PEERS = 2
# Medians of healthy engines under uneven load and prompt lengths differ by less than this.
REDUCE_RATIO = 1.8
# First-token times vary with the prompts that an engine works on at the moment. In healthy runs
# of the measurement, medians reached 2.5 times those of the peers.
FIRST_TOLERANCE = 1.4
EJECT_RATIO = 3.0
RECOVER_RATIO = 1.4
REDUCED_WEIGHT = 0.5
MAX_EJECTED_SHARE = 0.34  # One of three, one of five, five of sixteen.
EVALUATE_INTERVAL_MS = 100.0
FIRST_PROBE_MS = 2_000.0
MAX_PROBE_MS = 60_000.0
# Times below this are dominated by rounding and the network.
MIN_TIME_MS = 1.0


class Speed(enum.Enum):
    """How much traffic an upstream deserves."""

    NORMAL = "normal"
    REDUCED = "reduced"
    EJECTED = "ejected"  # Probes only.


@define
class _Times:
    """Recent times of one upstream."""

    first: deque[float] = field(factory=lambda: deque(maxlen=SAMPLES))
    inter: deque[float] = field(factory=lambda: deque(maxlen=SAMPLES))
    speed: Speed = Speed.NORMAL
    probe_at_ms: float = 0.0
    probe_after_ms: float = FIRST_PROBE_MS


@define
class StragglerDetector:
    """Compare the medians of first-token and inter-token times with those of the peers."""

    _times: dict[UpstreamId, _Times] = field(factory=dict)
    _evaluated_ms: float = -EVALUATE_INTERVAL_MS

    def set_upstreams(self, upstreams: list[UpstreamId]) -> None:
        """Follow these upstreams and forget all others."""
        self._times = {name: self._times.get(name, _Times()) for name in upstreams}

    def speed(self, upstream: UpstreamId) -> Speed:
        """Return the current judgement."""
        return self._times[upstream].speed

    def weight(self, upstream: UpstreamId) -> float:
        """Return the share of its slots that the upstream should fill."""
        return REDUCED_WEIGHT if self.speed(upstream) is Speed.REDUCED else 1.0

    def probe_at_ms(self, upstream: UpstreamId) -> float:
        """Return when an ejected upstream may get its next probe."""
        return self._times[upstream].probe_at_ms

    def record_probe(self, upstream: UpstreamId, now_ms: float) -> None:
        """Note a probe; each one doubles the time to the next until the upstream recovers."""
        times = self._times[upstream]
        times.probe_at_ms = now_ms + times.probe_after_ms
        times.probe_after_ms = min(MAX_PROBE_MS, 2.0 * times.probe_after_ms)

    def observe(
        self, upstream: UpstreamId, first_ms: float, inter_ms: float, now_ms: float
    ) -> list[UpstreamId]:
        """Take measured times, negative ones excepted; return upstreams judged anew."""
        times = self._times.get(upstream)
        if times is None:
            return []
        if first_ms >= 0.0:
            times.first.append(max(MIN_TIME_MS, first_ms))
        if inter_ms >= 0.0:
            times.inter.append(max(MIN_TIME_MS, inter_ms))
        if now_ms - self._evaluated_ms < EVALUATE_INTERVAL_MS:
            return []
        self._evaluated_ms = now_ms
        return self._evaluate(now_ms)

    def record_overdue(self, upstream: UpstreamId, elapsed_ms: float, now_ms: float) -> bool:
        """Take the wait for a first token that goes on; return whether it was far too long."""
        firsts = [times.first for name, times in self._times.items() if name != upstream]
        known = [statistics.median(first) for first in firsts if len(first) >= MIN_SAMPLES]
        if len(known) < MIN_PEERS or elapsed_ms < EJECT_RATIO * FIRST_TOLERANCE * statistics.median(
            known
        ):
            return False
        self._times[upstream].first.append(elapsed_ms)
        return True

    def _evaluate(self, now_ms: float) -> list[UpstreamId]:
        """Judge all upstreams, the slowest first, within the share that may be ejected."""
        ratios = self._ratios()
        room = int(MAX_EJECTED_SHARE * len(self._times))
        changed = []
        for name in sorted(self._times, key=lambda name: -ratios.get(name, 0.0)):
            times = self._times[name]
            speed = self._next_speed(times, ratios.get(name), room)
            room -= speed is Speed.EJECTED
            if speed is times.speed:
                continue
            self._set_speed(times, speed, now_ms)
            changed.append(name)
        return changed

    def _next_speed(self, times: _Times, ratio: float | None, room: int) -> Speed:
        """Return the judgement of one upstream, with a margin before it recovers."""
        if ratio is None:
            return times.speed if times.speed is not Speed.EJECTED or room > 0 else Speed.REDUCED
        slow = times.speed is not Speed.NORMAL
        if ratio >= EJECT_RATIO or (times.speed is Speed.EJECTED and ratio >= REDUCE_RATIO):
            return Speed.EJECTED if room > 0 else Speed.REDUCED
        if ratio >= (RECOVER_RATIO if slow else REDUCE_RATIO):
            return Speed.REDUCED
        return Speed.NORMAL

    def _set_speed(self, times: _Times, speed: Speed, now_ms: float) -> None:
        """Enter a state; samples from before an ejection, or during it, do not count after."""
        if Speed.EJECTED in (speed, times.speed):
            times.first.clear()
            times.inter.clear()
        if speed is Speed.EJECTED:
            times.probe_after_ms = FIRST_PROBE_MS
            times.probe_at_ms = now_ms + FIRST_PROBE_MS
        times.speed = speed

    def _ratios(self) -> dict[UpstreamId, float]:
        """Return each upstream's median over the median of its peers, the worse of the two."""
        ratios: dict[UpstreamId, float] = {}
        for kind, tolerance in (("first", FIRST_TOLERANCE), ("inter", 1.0)):
            medians = {
                name: statistics.median(_recent(times, samples))
                for name, times in self._times.items()
                if len(samples := getattr(times, kind)) >= MIN_SAMPLES and _judged(times)
            }
            for name, median in medians.items():
                peers = [value for peer, value in medians.items() if peer != name]
                if len(peers) >= MIN_PEERS:
                    ratio = median / statistics.median(peers) / tolerance
                    ratios[name] = max(ratio, ratios.get(name, 0.0))
        return ratios


def _judged(times: _Times) -> bool:
    """Return whether there is enough to judge; an ejected upstream needs some probes."""
    return times.speed is not Speed.EJECTED or len(times.first) >= MIN_SAMPLES


def _recent(times: _Times, samples: deque[float]) -> list[float]:
    """Return the samples that count; calls from before an ejection must not outweigh its probes."""
    return list(samples)[-MIN_SAMPLES if times.speed is Speed.EJECTED else 0 :]
