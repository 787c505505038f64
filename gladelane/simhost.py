"""`python -m gladelane.simhost`: adapter between the simulator's line protocol and the events and actions of
routers.

One process hosts many routers. The module makes no decisions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from .deployment.wire import settings_from_wire
from .routing import events as api
from .routing.router import Router

_CODES = {
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
_LISTS = {
    "incr": api.ListKind.CHANGES,
    "total": api.ListKind.COMPLETE,
    "warm_copy": api.ListKind.REMEMBERED,
    "lost": api.ListKind.FAILED,
}
# --- reading --------------------------------------------------------------------------------------------


def _text(parts: list[str], place: int) -> str | None:
    return parts[place] if place < len(parts) and parts[place] != "-" else None


def _number(parts: list[str], place: int) -> float:
    value = _text(parts, place)
    return float(value) if value is not None else 0.0


def _integer(parts: list[str], place: int) -> int:
    value = _text(parts, place)
    return int(value) if value is not None else 0


def _report(settings: api.Settings, value: str | None) -> dict[str, float] | None:
    if value is None:
        return None
    return {
        name: float(item)
        for name, item in zip(settings.report_fields, value.split(","), strict=False)
        if item not in ("", "-")
    }


def _request(parts: list[str], settings: api.Settings) -> api.Event:
    settings.class_named(parts[2])
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


def _outcome(parts: list[str], settings: api.Settings) -> api.Event:
    return api.Outcome(
        id=int(parts[1]),
        status=_CODES[parts[2]],
        latency_ms=_number(parts, 3),
        note=api.Note(_integer(parts, 4)),
        attempt=_integer(parts, 5),
        store=parts[6],
        source_wait_ms=_number(parts, 7),
        over=_text(parts, 8) == "1",
        report=_report(settings, _text(parts, 9)),
    )


def _probed(parts: list[str], settings: api.Settings) -> api.Event:
    return api.Probed(parts[1], _CODES[parts[2]], _number(parts, 3), _report(settings, _text(parts, 4)))


def _entry(parts: list[str]) -> api.Member:
    if parts[0] != "STORE":
        raise ValueError("expected a STORE line")
    return api.Member(
        store=parts[1],
        zone=parts[2],
        kind=parts[3],
        cell=_integer(parts, 4),
        state=_STATES[parts[5]],
        weight=_number(parts, 6),
        started_at_ms=_number(parts, 7),
    )


_EVENTS: dict[str, Callable[[list[str], api.Settings], api.Event]] = {
    "INBOUND": _request,
    "ENDED": _outcome,
    "PROBE_RESULT": _probed,
    "TIMED_OUT_CLIENT": lambda p, _: api.ClientDisconnected(int(p[1])),
    "PEER": lambda p, _: api.Message(int(p[1]), bytes.fromhex(_text(p, 2) or "")),
    "UNDER_WAY": lambda p, _: api.Started(int(p[1]), _integer(p, 2)),
    "REPLACED": lambda p, _: api.Purge(_integer(p, 1), _integer(p, 2), _number(p, 3)),
    "REMINDER": lambda p, _: api.Timer(p[1]),
}

# --- writing --------------------------------------------------------------------------------------------


def _fetch(a: api.Fetch) -> str:
    how = a.join * 1 + a.source_holds_only * 2 + a.parent_keeps_none * 4 + a.renew * 8
    age = f"{a.max_age_ms:.3f}" if a.max_age_ms else "-"
    return f"PULL_VIA {a.id} {a.timeout_ms:.3f} {a.store} {a.rank} {age} {a.source} {how}"


_ACTIONS: dict[type, Callable[[Any], str]] = {
    api.Lookup: lambda a: f"ISSUE {a.id} {a.store} {a.timeout_ms:.3f}",
    api.Fetch: _fetch,
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
    """Reads batches and writes replies; each proxy number has its own router and settings."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._lines = iter(source)
        self._sink = sink
        self._routers: dict[int, Router] = {}
        self._settings: dict[int, api.Settings] = {}
        self._rosters: dict[int, tuple[api.Member, ...]] = {}
        self._now = 0.0
        self._proxy = -1
        self._reply: list[str] = []
        self._named = -1
        self.line = ""

    def _next(self) -> str | None:
        line = next(self._lines, None)
        if line is not None:
            self.line = line.rstrip("\r\n")
        return None if line is None else self.line

    def serve(self) -> None:
        """Serves batches until the input ends. Raises ValueError for a line that cannot be read."""
        while (line := self._next()) is not None:
            parts = line.split(" ")
            if parts[0] != "CLOCK":
                raise ValueError("expected a CLOCK line")
            self._now = float(parts[1])
            self._proxy = self._named = -1
            self._reply = []
            self._batch()
            self._sink.write("\n".join([*self._reply, "DONE", ""]))
            self._sink.flush()

    def _batch(self) -> None:
        while (line := self._next()) != "YOUR_TURN":
            if line is None:
                raise ValueError("the input ends within a batch")
            parts = line.split(" ")
            if parts[0] == "ABOUT":
                self._proxy = int(parts[1])
            elif parts[0] == "REGISTER":
                self._register(int(parts[1]), int(parts[2]))
            elif parts[0] == "BORN":
                _, seed, text = line.split(" ", 2)
                settings = settings_from_wire(json.loads(text))
                self._settings[self._proxy] = settings
                self._routers[self._proxy] = Router(settings, int(seed))
            elif parts[0] == "DOWN":
                self._routers.pop(self._proxy, None)
            else:
                self._event(parts)

    def _register(self, number: int, count: int) -> None:
        entries = []
        for _ in range(count):
            line = self._next()
            if line is None:
                raise ValueError("the input ends within a list")
            entries.append(_entry(line.split(" ")))
        self._rosters[number] = tuple(entries)

    def _event(self, parts: list[str]) -> None:
        if parts[0] not in _EVENTS and parts[0] != "VIEW":
            raise ValueError("unknown message")
        router = self._routers.get(self._proxy)
        if router is None:
            return
        settings = self._settings[self._proxy]
        if parts[0] == "VIEW":
            kind = _LISTS[parts[3]]
            stores = () if kind is api.ListKind.FAILED else self._rosters[int(parts[1])]
            for store in stores:
                settings.known_zone(store.zone)
            event: api.Event = api.Members(kind, stores)
        else:
            event = _EVENTS[parts[0]](parts, settings)
        actions = router.handle(self._now, event)
        if actions and self._named != self._proxy:
            self._named = self._proxy
            self._reply.append(f"AT {self._proxy}")
        self._reply.extend(_ACTIONS[type(action)](action) for action in actions)


def main() -> int:
    """Serves standard input and output. The exit code is 1 after an error, which is also reported as a line
    of the output."""
    host = Host(sys.stdin, sys.stdout)
    try:
        host.serve()
    except Exception as error:  # any error ends the run with one message and no partial reply
        print(f"simhost: {type(error).__name__}: {error}; at line: {host.line[:300]}", file=sys.stderr)
        words = f"{type(error).__name__}: {error}".replace("\n", " ")[:300]
        print(f"BUG {words}\nDONE", flush=True)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
