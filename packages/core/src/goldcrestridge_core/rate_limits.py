"""Request rates that upstream instances name as the limit for all entry nodes together."""

from __future__ import annotations

from collections.abc import Collection

from attrs import define, field, frozen

from goldcrestridge_core.follow_types import NamedLimit

# An answer without a limit is shared with the other nodes for this long, which covers several
# polls of a large fleet. It is kept for longer, so that an older limit does not replace it.
SHARE_RELEASE_MS = 10_000.0


@frozen
class Observation:
    """The limit that one answer named, or None; times are monotonic milliseconds."""

    per_second: float | None
    sent_ms: float
    answered_ms: float

    def merged(self, other: Observation) -> Observation:
        """Return the newer observation, or the stricter one if their order is unknown.

        An answer to a request that was sent after another answer arrived is the newer one. Other
        answers may have overtaken each other.
        """
        if other.sent_ms >= self.answered_ms:
            return other
        if self.sent_ms >= other.answered_ms:
            return self
        return min(self, other, key=lambda item: (item._strictness, -item.answered_ms))

    @property
    def _strictness(self) -> float:
        return float("inf") if self.per_second is None else self.per_second


@define
class RateLimits:
    """Limits of the instances that named one, as observed by this node and its peers.

    An instance without an observation has never named a limit, as far as this node knows.
    ``paused_until_ms`` holds, for each instance, the time until which it has no request left.
    """

    _observed: dict[str, Observation] = field(factory=dict)
    _paused_until_ms: dict[str, float] = field(factory=dict)

    def observe(
        self, instance: str, per_second: float | None, sent_ms: float, now_ms: float
    ) -> bool:
        """Record the limit in an answer that arrived now; return whether the limit changed."""
        if per_second is None and instance not in self._observed:
            return False
        return self._merge(instance, Observation(per_second, sent_ms, now_ms))

    def merge(self, named: NamedLimit, now_ms: float) -> bool:
        """Record the observation of another node; return whether the limit changed."""
        observation = Observation(
            named.per_second, now_ms - named.sent_age_ms, now_ms - named.answered_age_ms
        )
        return self._merge(named.instance, observation)

    def _merge(self, instance: str, observation: Observation) -> bool:
        known = self._observed.get(instance)
        merged = observation if known is None else known.merged(observation)
        self._observed[instance] = merged
        if merged.per_second is None:
            self._paused_until_ms.pop(instance, None)
        return merged.per_second != (known.per_second if known is not None else None)

    def per_second(self, instance: str) -> float | None:
        """Return the requests a second that an instance takes, or None without a limit."""
        observation = self._observed.get(instance)
        return None if observation is None else observation.per_second

    def named(self, instance: str, now_ms: float) -> NamedLimit | None:
        """Return the observation of an instance for another node, or None without one."""
        observation = self._observed.get(instance)
        return None if observation is None else _named(instance, observation, now_ms)

    def shared(self, now_ms: float) -> tuple[NamedLimit, ...]:
        """Return the observations that other nodes should know."""
        return tuple(
            _named(instance, item, now_ms)
            for instance, item in self._observed.items()
            if item.per_second is not None or now_ms - item.answered_ms < SHARE_RELEASE_MS
        )

    def pause(self, instance: str, until_ms: float) -> None:
        """Prefer other instances until a time, since this one has no request left."""
        self._paused_until_ms[instance] = until_ms

    @property
    def has_pauses(self) -> bool:
        """Return whether any instance may have no request left."""
        return bool(self._paused_until_ms)

    def is_paused(self, instance: str, now_ms: float) -> bool:
        """Return whether an instance has no request left now, as far as this node knows."""
        return self._paused_until_ms.get(instance, now_ms) > now_ms

    def retain(self, instances: Collection[str]) -> None:
        """Forget the instances that are not among ``instances``."""
        for table in (self._observed, self._paused_until_ms):
            for instance in [name for name in table if name not in instances]:
                del table[instance]


def _named(instance: str, item: Observation, now_ms: float) -> NamedLimit:
    return NamedLimit(instance, item.per_second, now_ms - item.sent_ms, now_ms - item.answered_ms)
