"""What proves that an instance still is the run that the list of instances shows.

An instance may crash and start again under its id, at its address and with another software
version. The list shows this late, and a node that was cut off or suspended has an older list still.
A run is proven up to a time by

- a list that shows it and was current at that time, and
- bytes that arrive on a connection that was opened while the run was proven, since all connections
  end with it.

Beyond that time it is taken to go on, unless this node was out of step with the control leader, or
a connection to the instance was lost. The list goes on showing a run that has crashed, so a loss
counts until the run is proven by later bytes, or by a list from after the first connection that the
instance accepted again. A node without a connection can't notice a loss.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field

from goldcrestridge_core.follow_types import UpstreamInstance

# Delay of a reply of a busy leader. A node whose last confirmation is older than this and its
# polling interval is out of step.
MAX_REPLY_DELAY_MS = 600.0
# Without confirmations a new start shows in the list within this time.
UNCONFIRMED_DOUBT_MS = 3_000.0
# No upstream ends and serves again within this time.
MIN_RESTART_MS = 250.0


@define
class RunProofs:
    """Times up to which the listed runs are proven.

    A node that gets no confirmations, such as one in a test, counts as in step.
    """

    max_gap_ms: float = MAX_REPLY_DELAY_MS
    _listed_ms: float = -math.inf  # The list was current at this time.
    _confirmed_ms: float = math.inf  # When the newest confirmation was asked for.
    _back_ms: float = -math.inf  # When this node was back in step.
    _lives: dict[str, str] = field(factory=dict)
    _read_ms: dict[str, float] = field(factory=dict)  # The last bytes that prove a run.
    _lost_ms: dict[str, float] = field(factory=dict)  # The last connection that was lost.
    # The opening of the first connection after that which brought bytes.
    _reopened_ms: dict[str, float] = field(factory=dict)
    _doubted_since_ms: dict[str, float] = field(factory=dict)  # The first loss without a proof.

    def set_listed(self, instances: Iterable[UpstreamInstance], now_ms: float) -> None:
        """Drop what is known of runs that are no longer listed."""
        lives = {item.instance: item.life for item in instances}
        for name in [name for name in self._read_ms if lives.get(name) != self._lives.get(name)]:
            del self._read_ms[name]
        for times in (self._lost_ms, self._reopened_ms, self._doubted_since_ms):
            for name in times.keys() - lives.keys():
                del times[name]
        self._lives = lives
        if self._confirmed_ms == math.inf:
            self._listed_ms = now_ms

    def confirm(self, listed_ms: float, asked_ms: float, max_gap_ms: float) -> None:
        """Record that the list was current at ``listed_ms``, as the leader said when asked."""
        is_first = self._confirmed_ms == math.inf
        if is_first or asked_ms - self._confirmed_ms > self.max_gap_ms:
            self._back_ms = asked_ms
        self.max_gap_ms = max_gap_ms
        self._listed_ms = listed_ms if is_first else max(self._listed_ms, listed_ms)
        self._confirmed_ms = asked_ms if is_first else max(self._confirmed_ms, asked_ms)

    def record_read(self, instance: str, opened_ms: float, now_ms: float) -> None:
        """Record bytes of an instance on a connection that was opened at ``opened_ms``.

        Bytes that waited while this node was suspended prove nothing about the time since.
        """
        if opened_ms <= self.proven_ms(instance) and self._is_in_step(now_ms):
            self._read_ms[instance] = now_ms
        elif opened_ms > self._lost_ms.get(instance, math.inf):
            self._reopened_ms.setdefault(instance, opened_ms)

    def record_loss(self, instance: str, now_ms: float) -> None:
        """Record that a connection was lost or refused, which a new start would explain."""
        if not self._may_have_ended(instance, now_ms):
            self._doubted_since_ms[instance] = now_ms
        self._lost_ms[instance] = now_ms
        self._reopened_ms.pop(instance, None)

    def record_accepted(self, instance: str, read_ms: float, now_ms: float) -> None:
        """Record that an instance accepts connections after the loss of one.

        If the lost connection had brought bytes at ``read_ms``, sooner before than any new run
        could have started, the loss says nothing of the run.
        """
        doubted_since_ms = self._doubted_since_ms.get(instance, -math.inf)
        if now_ms - read_ms <= MIN_RESTART_MS and read_ms <= doubted_since_ms:
            for times in (self._lost_ms, self._reopened_ms, self._doubted_since_ms):
                times.pop(instance, None)

    def lists(self, item: UpstreamInstance) -> bool:
        """Return whether the list still shows this run."""
        return self._lives.get(item.instance) == item.life

    def proven_ms(self, instance: str) -> float:
        """Return the latest time at which the listed run is known to have run."""
        return max(self._listed_ms, self._read_ms.get(instance, -math.inf))

    def runs(self, instance: str, now_ms: float) -> bool:
        """Return whether the listed run is taken to run now."""
        return (
            self._is_in_step(now_ms)
            and self.proven_ms(instance) >= self._back_ms
            and not self._may_have_ended(instance, now_ms)
        )

    def answers(self, instance: str, opened_ms: float, now_ms: float) -> bool:
        """Return whether the listed run answers on a connection opened at ``opened_ms``."""
        return opened_ms <= self.proven_ms(instance) or self.runs(instance, now_ms)

    def _may_have_ended(self, instance: str, now_ms: float) -> bool:
        """Return whether a connection was lost and nothing has shown since that the run goes on."""
        lost_ms = self._lost_ms.get(instance, -math.inf)
        if self._confirmed_ms == math.inf:
            return lost_ms > max(self._listed_ms, now_ms - UNCONFIRMED_DOUBT_MS)
        reopened_ms = self._reopened_ms.get(instance, math.inf)
        return lost_ms > self._read_ms.get(instance, -math.inf) and reopened_ms > self._listed_ms

    def _is_in_step(self, now_ms: float) -> bool:
        return now_ms - self._confirmed_ms <= self.max_gap_ms
