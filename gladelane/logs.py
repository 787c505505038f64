"""Sets up logging in plain, key=value or JSON lines, with a rate limit per message.

Plain lines need only the standard library. The other formats use structlog, which is imported only for them,
because it costs 15 MB and a quarter of a second if rich is installed.
"""

from __future__ import annotations

import logging
import re
from typing import Any

PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_LINES_PER_S = 5  # per message template
_PAIR = re.compile(r"(?<!\S)([a-z_]+)=(\S+)")


class Flood(logging.Filter):
    """Limits the cost of log lines that misbehaving clients cause: of each message template it passes a few
    lines per second, and reports the number of the others."""

    def __init__(self) -> None:
        super().__init__()
        self._seen: dict[str, tuple[int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written. The first line of a later second has the number of suppressed
        lines."""
        template, now = str(record.msg), int(record.created)
        second, lines = self._seen.get(template, (now, 0))
        if second != now:
            if lines > MAX_LINES_PER_S:
                record.msg = f"{template} (and {lines - MAX_LINES_PER_S} like it)"
            lines = 0
        self._seen[template] = now, lines + 1
        return lines < MAX_LINES_PER_S


def set_up(form: str = "plain", level: str = "info") -> None:
    """Sets the format (plain, keyvalue or json) and the minimum level. A later call replaces the settings."""
    logging.basicConfig(level=level.upper(), format=PLAIN, force=True)
    for handler in logging.getLogger().handlers:
        handler.addFilter(Flood())
        if form != "plain":
            handler.setFormatter(_structured(form))


def _split(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """Moves each `name=value` in the text of a line to a key of its own; the rest stays as `event`."""
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
