"""`python -m gladelane.simhost`: adapter between the simulator's line protocol and the events and actions of
routers.

One process hosts many routers. The adapter only translates messages; the routers make all decisions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from .deployment import UNKNOWN_KEY_GROUP
from .deployment.wire import settings_from_wire
from .routing import events as api
from .routing.router import Router

_STATUSES = {
    "100": api.Status.OK,
    "301": api.Status.ERROR,
    "302": api.Status.FULL,
    "303": api.Status.TIMEOUT,
    "304": api.Status.CONNECT_FAILED,
    "305": api.Status.RESET,
    "306": api.Status.CANCELLED,
    "307": api.Status.MOOT,
    "101": api.Status.MISS,
}
_STATES = {"IN": api.State.READY, "LAME": api.State.DRAINING, "OUT": api.State.GONE}
_LIST_KINDS = {
    "incr": api.ListKind.CHANGES,
    "total": api.ListKind.COMPLETE,
    "warm_copy": api.ListKind.REMEMBERED,
    "lost": api.ListKind.FAILED,
}
# --- parsing of events ----------------------------------------------------------------------------------


def _text(parts: list[str], index: int) -> str | None:
    return parts[index] if index < len(parts) and parts[index] != "-" else None


def _number(parts: list[str], index: int) -> float:
    value = _text(parts, index)
    return float(value) if value is not None else 0.0


def _integer(parts: list[str], index: int, default: int = 0) -> int:
    value = _text(parts, index)
    return int(value) if value is not None else default


def _parse_report(settings: api.Settings, value: str | None) -> dict[str, float] | None:
    if value is None:
        return None
    return {
        name: float(item)
        for name, item in zip(settings.report_fields, value.split(","), strict=False)
        if item not in ("", "-")
    }


def _parse_request(parts: list[str], settings: api.Settings) -> api.Event:
    settings.get_class(parts[2])
    return api.Request(
        id=int(parts[1]),
        cls=parts[2],
        tenant=_text(parts, 3) or "",
        object=_integer(parts, 4),
        deadline_ms=float(parts[5]),
        size_kb=_number(parts, 6),
        group=_integer(parts, 7),
        part=_integer(parts, 8),
        repeat=bool(_integer(parts, 9) & 2),
    )


def _parse_outcome(parts: list[str], settings: api.Settings) -> api.Event:
    return api.Outcome(
        id=int(parts[1]),
        status=_STATUSES[parts[2]],
        latency_ms=_number(parts, 3),
        note=api.Note(_integer(parts, 4)),
        attempt=_integer(parts, 5),
        store=parts[6],
        source_wait_ms=_number(parts, 7),
        over=_text(parts, 8) == "1",
        report=_parse_report(settings, _text(parts, 9)),
    )


def _parse_probe_result(parts: list[str], settings: api.Settings) -> api.Event:
    return api.Probed(
        parts[1], _STATUSES[parts[2]], _number(parts, 3), _parse_report(settings, _text(parts, 4))
    )


def _parse_store(parts: list[str]) -> api.Member:
    if parts[0] != "STORE":
        raise ValueError("expected a STORE line")
    return api.Member(
        store=parts[1],
        zone=parts[2],
        kind=parts[3],
        cell=_integer(parts, 4, UNKNOWN_KEY_GROUP),
        state=_STATES[parts[5]],
        weight=_number(parts, 6),
        started_at_ms=_number(parts, 7),
    )


_EVENTS: dict[str, Callable[[list[str], api.Settings], api.Event]] = {
    "INBOUND": _parse_request,
    "ENDED": _parse_outcome,
    "PROBE_RESULT": _parse_probe_result,
    "TIMED_OUT_CLIENT": lambda parts, _: api.ClientDisconnected(int(parts[1])),
    "PEER": lambda parts, _: api.Message(int(parts[1]), bytes.fromhex(_text(parts, 2) or "")),
    "UNDER_WAY": lambda parts, _: api.Started(int(parts[1]), _integer(parts, 2)),
    "REPLACED": lambda parts, _: api.Purge(_integer(parts, 1), _integer(parts, 2), _number(parts, 3)),
    "REMINDER": lambda parts, _: api.Timer(parts[1]),
}

# --- formatting of actions ------------------------------------------------------------------------------


def _format_fetch(a: api.Fetch) -> str:
    flags = a.join * 1 + a.source_holds_only * 2 + a.parent_keeps_none * 4 + a.renew * 8
    max_age = f"{a.max_age_ms:.3f}" if a.max_age_ms else "-"
    return f"PULL_VIA {a.id} {a.timeout_ms:.3f} {a.store} {a.rank} {max_age} {a.source} {flags}"


_ACTIONS: dict[type, Callable[[Any], str]] = {
    api.Lookup: lambda a: f"ISSUE {a.id} {a.store} {a.timeout_ms:.3f}",
    api.Fetch: _format_fetch,
    api.Cancel: lambda a: f"DROP_ATTEMPT {a.id} {a.attempt}",
    api.Probe: lambda a: f"ASK_LOAD {a.store}",
    api.Refuse: lambda a: f"REFUSE {a.id} {a.retry_after_ms:.3f}",
    api.Fail: lambda a: f"ERROR {a.id}",
    api.SetTimer: lambda a: f"REMIND {a.token} {a.due_ms:.3f}",
    api.Subscribe: lambda a: f"FOLLOW {int(a.on)}",
    api.PollEndpointList: lambda _action: "FETCH",
    api.SendMessage: lambda a: f"MEMO_TO {'*' if a.to is None else a.to} {a.data.hex() or '-'}",
    api.Log: lambda a: f"REMARK {a.text}",
}


class Host:
    """Reads batches of messages and writes replies. Each director number has its own router and settings.

    `line` is the last line that was read.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._lines = iter(source)
        self._sink = sink
        self._routers: dict[int, Router] = {}
        self._settings: dict[int, api.Settings] = {}
        self._endpoint_lists: dict[int, tuple[api.Member, ...]] = {}
        self._now_ms = 0.0
        self._director = -1  # that the messages are for
        self._reply: list[str] = []
        self._reply_director = -1  # that the last actions in the reply are from
        self.line = ""

    def _next_line(self) -> str | None:
        line = next(self._lines, None)
        if line is not None:
            self.line = line.rstrip("\r\n")
        return None if line is None else self.line

    def serve(self) -> None:
        """Serves batches until the input ends. Raises ValueError for a malformed line."""
        while (line := self._next_line()) is not None:
            parts = line.split(" ")
            if parts[0] != "CLOCK":
                raise ValueError("expected a CLOCK line")
            self._now_ms = float(parts[1])
            self._director = self._reply_director = -1
            self._reply = []
            self._read_batch()
            self._sink.write("\n".join([*self._reply, "DONE", ""]))
            self._sink.flush()

    def _read_batch(self) -> None:
        while (line := self._next_line()) != "YOUR_TURN":
            if line is None:
                raise ValueError("the input ends within a batch")
            parts = line.split(" ")
            if parts[0] == "ABOUT":
                self._director = int(parts[1])
            elif parts[0] == "REGISTER":
                self._read_endpoint_list(int(parts[1]), int(parts[2]))
            elif parts[0] == "BORN":
                _, seed, text = line.split(" ", 2)
                settings = settings_from_wire(json.loads(text))
                self._settings[self._director] = settings
                self._routers[self._director] = Router(settings, int(seed))
            elif parts[0] == "DOWN":
                self._routers.pop(self._director, None)
            else:
                self._handle_event(parts)

    def _read_endpoint_list(self, number: int, count: int) -> None:
        entries = []
        for _ in range(count):
            line = self._next_line()
            if line is None:
                raise ValueError("the input ends within a list")
            entries.append(_parse_store(line.split(" ")))
        self._endpoint_lists[number] = tuple(entries)

    def _handle_event(self, parts: list[str]) -> None:
        if parts[0] not in _EVENTS and parts[0] != "VIEW":
            raise ValueError("unknown message")
        router = self._routers.get(self._director)
        if router is None:
            return
        settings = self._settings[self._director]
        if parts[0] == "VIEW":
            kind = _LIST_KINDS[parts[3]]
            stores = () if kind is api.ListKind.FAILED else self._endpoint_lists[int(parts[1])]
            for store in stores:
                settings.check_zone(store.zone)
            event: api.Event = api.Members(kind, stores)
        else:
            event = _EVENTS[parts[0]](parts, settings)
        actions = router.handle(self._now_ms, event)
        if actions and self._reply_director != self._director:
            self._reply_director = self._director
            self._reply.append(f"AT {self._director}")
        self._reply.extend(_ACTIONS[type(action)](action) for action in actions)


def main() -> int:
    """Serves standard input and output. After an error the exit code is 1, and the output has a line with the
    error."""
    host = Host(sys.stdin, sys.stdout)
    try:
        host.serve()
    except Exception as error:  # any error ends the run with one message and without a partial reply
        print(f"simhost: {type(error).__name__}: {error}; at line: {host.line[:300]}", file=sys.stderr)
        message = f"{type(error).__name__}: {error}".replace("\n", " ")[:300]
        print(f"BUG {message}\nDONE", flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
