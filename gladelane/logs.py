"""Sets up logging as plain, key=value or JSON lines, with a rate limit per message template.

Plain lines need only the standard library. The other formats use structlog, which is imported only if one of
them is chosen: the import costs 15 MB and a quarter of a second if rich is installed.
"""

from __future__ import annotations

import logging
import re
from typing import Any

PLAIN = "%(asctime)s %(levelname)s %(name)s %(message)s"
MAX_LINES_PER_S = 5  # per message template
_FIELD = re.compile(r"(?<!\S)([a-z_]+)=(\S+)")


class MessageRateLimit(logging.Filter):
    """Limits the cost of log lines that misbehaving clients cause: it passes a few lines per second of each
    message template and reports how many it has suppressed."""

    def __init__(self) -> None:
        super().__init__()
        self._counts: dict[str, tuple[int, int]] = {}  # second and number of lines by template

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written. The next line that is written in a later second shows how many were
        suppressed."""
        template, now = str(record.msg), int(record.created)
        second, lines = self._counts.get(template, (now, 0))
        if second != now:
            if lines > MAX_LINES_PER_S:
                record.msg = f"{template} (and {lines - MAX_LINES_PER_S} like it)"
            lines = 0
        self._counts[template] = now, lines + 1
        return lines < MAX_LINES_PER_S


def set_up_logging(log_format: str = "plain", level: str = "info") -> None:
    """Sets the format (plain, keyvalue or json) and the minimum level, replacing those of earlier calls."""
    logging.basicConfig(level=level.upper(), format=PLAIN, force=True)
    for handler in logging.getLogger().handlers:
        handler.addFilter(MessageRateLimit())
        if log_format != "plain":
            handler.setFormatter(_structured(log_format))


def _extract_fields(_: Any, __: str, event: dict[str, Any]) -> dict[str, Any]:
    """A structlog processor. It moves each `name=value` in a line's text to a key of its own and leaves the
    rest of the text as `event`."""
    text = str(event["event"])
    for name, value in _FIELD.findall(text):
        event.setdefault(name, value)
    event["event"] = " ".join(_FIELD.sub("", text).split()).rstrip(":")
    return event


def _structured(log_format: str) -> logging.Formatter:
    import structlog

    render: Any = structlog.processors.JSONRenderer()
    if log_format == "keyvalue":
        render = structlog.processors.KeyValueRenderer(
            key_order=["timestamp", "level", "logger", "event"], drop_missing=True
        )
    pre_chain: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _extract_fields,
    ]
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=pre_chain,
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            render,
        ],
    )
