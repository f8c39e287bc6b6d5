"""When parts of prompts, and requests, were last answered."""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field

from goldcrestridge_core.request_keys import is_request_key

# Requests are many more than the parts that they share, so that they have a bound of their own.
MAX_ANSWERED_PARTS = 4_096
MAX_ANSWERED_REQUESTS = 2_048


@define
class AnsweredParts:
    """The last answers that began, a bounded number of them; times are monotonic milliseconds."""

    _parts: OrderedDict[str, float] = field(factory=OrderedDict)
    _requests: OrderedDict[str, float] = field(factory=OrderedDict)

    def __contains__(self, part: str) -> bool:
        return part in self._table(part)

    def last_ms(self, part: str) -> float:
        """Return when the last answer began, or minus infinity if none is known."""
        return self._table(part).get(part, -math.inf)

    def record(self, part: str, began_ms: float) -> None:
        """Record an answer; the one that was recorded least recently may be forgotten."""
        table = self._table(part)
        table[part] = max(began_ms, table.get(part, -math.inf))
        table.move_to_end(part)
        limit = MAX_ANSWERED_REQUESTS if table is self._requests else MAX_ANSWERED_PARTS
        while len(table) > limit:
            table.popitem(last=False)

    def _table(self, part: str) -> OrderedDict[str, float]:
        return self._requests if is_request_key(part) else self._parts
