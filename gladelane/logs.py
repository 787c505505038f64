"""The log, set up once: plain lines, key=value or JSON lines, and a bound on floods of one wording.

Plain lines are what the director has always written and need the standard library only. The other forms are
made by structlog, which is imported for them alone: it costs 15 MB and a quarter of a second where rich is
installed.
"""

from __future__ import annotations

import logging
import re
from typing import Any

PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"
LINES_A_SECOND = 5  # of one wording in the log
_PAIR = re.compile(r"(?<!\S)([a-z_]+)=(\S+)")


class Flood(logging.Filter):
    """Bounds what bad clients make the log cost: so many lines of one wording a second, and a count."""

    def __init__(self) -> None:
        super().__init__()
        self._seen: dict[str, tuple[int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        wording, now = str(record.msg), int(record.created)
        second, lines = self._seen.get(wording, (now, 0))
        if second != now:
            if lines > LINES_A_SECOND:
                record.msg = f"{wording} (and {lines - LINES_A_SECOND} like it)"
            lines = 0
        self._seen[wording] = now, lines + 1
        return lines < LINES_A_SECOND


def set_up(form: str = "plain", level: str = "info") -> None:
    """form: plain, keyvalue or json. May be called again; the last call holds."""
    logging.basicConfig(level=level.upper(), format=PLAIN, force=True)
    for handler in logging.getLogger().handlers:
        handler.addFilter(Flood())
        if form != "plain":
            handler.setFormatter(_structured(form))


def _split(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """The words of a line as `event`, each `name=value` in it as a key of its own."""
    text = str(event["event"])
    for name, value in _PAIR.findall(text):
        event.setdefault(name, value)
    event["event"] = " ".join(_PAIR.sub("", text).split()).rstrip(":")
    return event


def _structured(form: str) -> logging.Formatter:
    import structlog

    render: Any = structlog.processors.JSONRenderer()
    if form == "keyvalue":
        render = structlog.processors.KeyValueRenderer(
            key_order=["timestamp", "level", "logger", "event"], drop_missing=True
        )
    before: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _split,
    ]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=before,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            render,
        ],
    )
