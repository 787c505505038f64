"""Sets up the log: plain, key=value or JSON lines, with a limit on floods of one message.

Plain lines need the standard library only. The other forms are made by structlog, which is imported only for
them: it costs 15 MB and a quarter of a second if rich is installed.
"""

from __future__ import annotations

import logging
import re
from typing import Any

PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_LINES_PER_S = 5  # of one message
_PAIR = re.compile(r"(?<!\S)([a-z_]+)=(\S+)")


class Flood(logging.Filter):
    """Limits what bad clients make the log cost: so many lines a second of one message, then a count."""

    def __init__(self) -> None:
        super().__init__()
        self._seen: dict[str, tuple[int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line is written. The first one of a later second has the count of those that were not."""
        template, now = str(record.msg), int(record.created)
        second, lines = self._seen.get(template, (now, 0))
        if second != now:
            if lines > MAX_LINES_PER_S:
                record.msg = f"{template} (and {lines - MAX_LINES_PER_S} like it)"
            lines = 0
        self._seen[template] = now, lines + 1
        return lines < MAX_LINES_PER_S


def set_up(form: str = "plain", level: str = "info") -> None:
    """Sets form (plain, keyvalue or json) and least level. May be called again; the last call holds."""
    logging.basicConfig(level=level.upper(), format=PLAIN, force=True)
    for handler in logging.getLogger().handlers:
        handler.addFilter(Flood())
        if form != "plain":
            handler.setFormatter(_structured(form))


def _split(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """The text of a line as `event`, each `name=value` in it as a key of its own."""
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
