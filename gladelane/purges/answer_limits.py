"""The limits on copies that bind when an answer is passed on, as opposed to when its request is sent."""

from __future__ import annotations

import math
from typing import NamedTuple

from .receipt import EffectiveTimes


class AnswerLimits(NamedTuple):
    """The limits on a copy that answers one request now.

    Attributes: max_age_ms, by being cut off or by lost purges, `inf` if neither limits copies; purges, when
    the purges apply that were received since the request was sent and whose stated delay is over;
    has_all_purges, whether all that were received since then are still known one by one."""

    max_age_ms: float = math.inf
    purges: tuple[EffectiveTimes, ...] = ()
    has_all_purges: bool = True
