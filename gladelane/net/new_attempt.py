"""Creates attempts from the router's decisions to fetch or to look up. Pure."""

from __future__ import annotations

from ..routing.events import Fetch, Lookup, Settings
from .exchange import Attempt, Exchange

REFRESH_HINT = "freshen"  # the server shall ask the origin whether its copy is still valid


def create_attempt(exchange: Exchange, action: Fetch | Lookup, now: float, settings: Settings) -> Attempt:
    """Creates the next attempt of an exchange, counts it and adds it to the open attempts."""
    deadline_ms = exchange.request.deadline_ms
    due_ms = min(now + action.timeout_ms, deadline_ms) if action.timeout_ms else deadline_ms
    objective_ms = exchange.spec.aim_for(exchange.request.size_kb, settings.flow_kb_per_s)
    if isinstance(action, Fetch):
        source = "" if action.source == action.store else action.source
        rank, max_age_ms, hints = action.rank, action.max_age_ms, encode_hints(action)
    else:
        source, rank, max_age_ms, hints = "", 0, 0.0, ()
    attempt = Attempt(
        exchange,
        exchange.attempt_count,
        action.store,
        now,
        due_ms,
        source,
        rank,
        max_age_ms,
        hints,
        objective_ms,
    )
    exchange.attempt_count += 1
    exchange.open[attempt.number] = attempt
    return attempt


def encode_hints(fetch: Fetch) -> tuple[str, ...]:
    """Encodes the flags of a fetch as hints of the cache protocol."""
    flags = (
        ("coalesce", fetch.join),
        ("shallow", fetch.source_holds_only),
        ("transit", fetch.parent_keeps_none),
        (REFRESH_HINT, fetch.renew),
    )
    return tuple(hint for hint, is_set in flags if is_set)
