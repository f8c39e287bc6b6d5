"""Detection of upstreams that are slower than their peers (stragglers)."""

from __future__ import annotations

import enum
import statistics
from collections import deque

from attrs import define, field

from goldcrestridge_core.types import UpstreamId

SAMPLES = 16
MIN_SAMPLES = 3
MIN_PEERS = 2
# Medians of healthy engines differ by less than this under uneven load and prompt lengths.
REDUCE_RATIO = 1.8
# First-token times depend on the prompts that an engine currently processes. In measurements with
# healthy engines, medians reached 2.5 times those of the peers.
FIRST_TOLERANCE = 1.4
EJECT_RATIO = 3.0
RECOVER_RATIO = 1.4
REDUCED_WEIGHT = 0.5
MAX_EJECTED_SHARE = 0.34  # One of three, one of five, five of sixteen.
EVALUATE_INTERVAL_MS = 100.0
FIRST_PROBE_MS = 2_000.0
MAX_PROBE_MS = 60_000.0
# Shorter times are dominated by rounding and network latency.
MIN_TIME_MS = 1.0


class Speed(enum.Enum):
    """How much traffic an upstream gets."""

    NORMAL = "normal"
    REDUCED = "reduced"
    EJECTED = "ejected"  # Probes only.


@define
class _Times:
    """Recent first-token and inter-token times of one upstream, and its speed."""

    first: deque[float] = field(factory=lambda: deque(maxlen=SAMPLES))
    inter: deque[float] = field(factory=lambda: deque(maxlen=SAMPLES))
    speed: Speed = Speed.NORMAL
    probe_at_ms: float = 0.0
    probe_interval_ms: float = FIRST_PROBE_MS


@define
class StragglerDetector:
    """Compare the medians of first-token and inter-token times with those of the peers."""

    _times: dict[UpstreamId, _Times] = field(factory=dict)
    _evaluated_ms: float = -EVALUATE_INTERVAL_MS

    def set_upstreams(self, upstreams: list[UpstreamId]) -> None:
        """Track these upstreams and discard the samples of all others."""
        self._times = {name: self._times.get(name, _Times()) for name in upstreams}

    def speed(self, upstream: UpstreamId) -> Speed:
        """Return the current speed class of an upstream."""
        return self._times[upstream].speed

    def weight(self, upstream: UpstreamId) -> float:
        """Return the share of its slots that the upstream should fill."""
        return REDUCED_WEIGHT if self.speed(upstream) is Speed.REDUCED else 1.0

    def probe_at_ms(self, upstream: UpstreamId) -> float:
        """Return when an ejected upstream may get its next probe."""
        return self._times[upstream].probe_at_ms

    def record_probe(self, upstream: UpstreamId, now_ms: float) -> None:
        """Record a probe; each one doubles the time to the next until the upstream recovers."""
        times = self._times[upstream]
        times.probe_at_ms = now_ms + times.probe_interval_ms
        times.probe_interval_ms = min(MAX_PROBE_MS, 2.0 * times.probe_interval_ms)

    def observe(
        self, upstream: UpstreamId, first_ms: float, inter_ms: float, now_ms: float
    ) -> list[UpstreamId]:
        """Record measured times; return the upstreams whose speed changed.

        A negative time stands for none.
        """
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

    def record_overdue(self, upstream: UpstreamId, wait_ms: float, now_ms: float) -> bool:
        """Record an ongoing wait for a first token if it is far too long; return whether it is."""
        peers = [times.first for name, times in self._times.items() if name != upstream]
        medians = [statistics.median(samples) for samples in peers if len(samples) >= MIN_SAMPLES]
        if len(medians) < MIN_PEERS or wait_ms < EJECT_RATIO * FIRST_TOLERANCE * statistics.median(
            medians
        ):
            return False
        self._times[upstream].first.append(wait_ms)
        return True

    def _evaluate(self, now_ms: float) -> list[UpstreamId]:
        """Update all speeds, slowest first, within the ejectable share; return those changed."""
        ratios = self._ratios()
        ejections_left = int(MAX_EJECTED_SHARE * len(self._times))
        changed = []
        for name in sorted(self._times, key=lambda name: -ratios.get(name, 0.0)):
            times = self._times[name]
            speed = self._next_speed(times, ratios.get(name), ejections_left)
            ejections_left -= speed is Speed.EJECTED
            if speed is times.speed:
                continue
            self._set_speed(times, speed, now_ms)
            changed.append(name)
        return changed

    def _next_speed(self, times: _Times, ratio: float | None, ejections_left: int) -> Speed:
        """Return the new speed of one upstream, with hysteresis before it recovers."""
        if ratio is None:
            return (
                times.speed
                if times.speed is not Speed.EJECTED or ejections_left > 0
                else Speed.REDUCED
            )
        is_slow = times.speed is not Speed.NORMAL
        if ratio >= EJECT_RATIO or (times.speed is Speed.EJECTED and ratio >= REDUCE_RATIO):
            return Speed.EJECTED if ejections_left > 0 else Speed.REDUCED
        if ratio >= (RECOVER_RATIO if is_slow else REDUCE_RATIO):
            return Speed.REDUCED
        return Speed.NORMAL

    def _set_speed(self, times: _Times, speed: Speed, now_ms: float) -> None:
        """Set the speed; samples from before and during an ejection are discarded."""
        if Speed.EJECTED in (speed, times.speed):
            times.first.clear()
            times.inter.clear()
        if speed is Speed.EJECTED:
            times.probe_interval_ms = FIRST_PROBE_MS
            times.probe_at_ms = now_ms + FIRST_PROBE_MS
        times.speed = speed

    def _ratios(self) -> dict[UpstreamId, float]:
        """Return the ratio of each upstream's median to that of its peers.

        The higher of the ratios for first-token and inter-token times counts.
        """
        ratios: dict[UpstreamId, float] = {}
        for kind, tolerance in (("first", FIRST_TOLERANCE), ("inter", 1.0)):
            medians = {
                name: statistics.median(_samples_to_compare(times, samples))
                for name, times in self._times.items()
                if len(samples := getattr(times, kind)) >= MIN_SAMPLES
                and _has_enough_samples(times)
            }
            for name, median in medians.items():
                peers = [value for peer, value in medians.items() if peer != name]
                if len(peers) >= MIN_PEERS:
                    ratio = median / statistics.median(peers) / tolerance
                    ratios[name] = max(ratio, ratios.get(name, 0.0))
        return ratios


def _has_enough_samples(times: _Times) -> bool:
    """Return whether samples suffice; an ejected upstream needs enough completed probes."""
    return times.speed is not Speed.EJECTED or len(times.first) >= MIN_SAMPLES


def _samples_to_compare(times: _Times, samples: deque[float]) -> list[float]:
    """Return the samples to compare.

    Of an ejected upstream only the last ones count, so that calls from before the ejection do not
    outweigh its probes.
    """
    return list(samples)[-MIN_SAMPLES if times.speed is Speed.EJECTED else 0 :]
