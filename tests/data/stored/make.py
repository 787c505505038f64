"""Writes one folder of each stored form beside this script, with the program as it is now.

The folders are committed: `tests/storage/test_stored_forms.py` has the present program read what an earlier
one wrote. Run this only when a form is added, and commit the new folder alone:

    python tests/data/stored/make.py NAME...
"""

from __future__ import annotations

import asyncio
import shutil
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

HERE = Path(__file__).parent
sys.path[:0] = [str(HERE.parents[2]), str(HERE.parents[1])]

from conftest import members, settings  # noqa: E402

from gladelane.audit.activity_log import ActivityLog  # noqa: E402
from gladelane.audit.activity_log_store import ActivityLogStore, LogPage  # noqa: E402
from gladelane.audit.server import AuditServer  # noqa: E402
from gladelane.audit.view import View, view_id  # noqa: E402
from gladelane.audit.wire import ExpectedDigests, Report  # noqa: E402
from gladelane.control_plane.http import Request as HttpRequest  # noqa: E402
from gladelane.hot_restart.handover import Handover  # noqa: E402
from gladelane.hot_restart.handover_file import HandoverFile  # noqa: E402
from gladelane.hot_restart.learned_state import take_snapshot  # noqa: E402
from gladelane.leases.messages import LeaseRequest, LeaseRequestBatch  # noqa: E402
from gladelane.leases.server import LeaseServer  # noqa: E402
from gladelane.recovery.state_store import StateStore  # noqa: E402
from gladelane.routing.events import ListKind, Members, Request  # noqa: E402
from gladelane.routing.idempotency import KeyAttempt  # noqa: E402
from gladelane.routing.router import Router  # noqa: E402
from gladelane.storage.files import Folder  # noqa: E402
from gladelane.storage.log import recover  # noqa: E402

NOW_MS = 1_700_000_000_000.0
DIRECTOR = "director-0"
START = 1_700_000_000_000
VIEW = View(
    list_source="board", rev=3, list="digest", purges="feed:1=2", settings="s", operator="o", program="p"
)


def busy_router() -> Router:
    router = Router(settings(), 1)
    router.handle(NOW_MS - 2_000.0, Members(ListKind.COMPLETE, members()))
    for number in range(30):
        request = Request(number + 1, "film", number % 5 + 1, NOW_MS + 9_000.0, size_kb=100.0)
        router.handle(NOW_MS - 1_000.0 + number, request)
    return router


def make_log(folder: Path) -> None:
    """A snapshot, two segments behind it, and half of a record."""
    disk = Folder(folder)
    log, _ = recover(disk, segment_bytes=200)
    for number in range(12):
        log.append(b"record %d " % number + b"x" * (7 * number))
        log.commit()
        if number == 5:
            log.snapshot(b"the first six")
    disk.append(disk.names()[-1], b"\xa5\x5a\x00\x00\x00\x20torn")
    disk.close()


def make_leases(folder: Path) -> None:
    now_ms = [0.0]
    part = LeaseServer("lease-server", Folder(folder), str, lambda: now_ms[0], 100.0, [], is_first_start=True)
    now_ms[0] = 1_000.0

    async def ask(number: int, progress: str) -> None:
        asks = LeaseRequestBatch(
            [LeaseRequest("orders-001", DIRECTOR, number, 50.0)], {"orders-001": progress}
        )
        await part._on_requests(HttpRequest("POST", "/leases", "", {}, msgspec.json.encode(asks)), "caller")
        now_ms[0] += 1_000.0

    for number in (1, 2, 5):
        asyncio.run(ask(number, f"progress under {number}"))
    asyncio.run(part.close())


def make_audit(folder: Path) -> None:
    collector = AuditServer("feed", Folder(folder), str, lambda: NOW_MS)
    trail = ActivityLog(DIRECTOR, START, view_id(VIEW), {"page": 1.0}, NOW_MS - 9_000.0)
    for number in range(3):
        for _ in range(number + 1):
            trail.record_answer("page", trail.record_attempt("page"))
        trail.close_interval(view_id(VIEW), {"page": [number + 1, 0, 0]}, NOW_MS - 8_000.0 + 1_000.0 * number)

    async def report() -> None:
        collector.start()
        views = {view_id(VIEW): VIEW}
        told = Report(DIRECTOR, START, "edge", NOW_MS, VIEW, trail.unreported(10), views)
        await collector._on_report(HttpRequest("POST", "/reports", "", {}, msgspec.json.encode(told)), "")
        word = msgspec.json.encode(ExpectedDigests("settings", ("s",), NOW_MS))
        await collector._on_expect(HttpRequest("POST", "/fleet/expect", "", {}, word), "operator")
        await collector.close()

    asyncio.run(report())


def make_trail(folder: Path) -> None:
    store = ActivityLogStore(folder)
    trail = ActivityLog(DIRECTOR, START, view_id(VIEW), {"page": 1.0}, NOW_MS - 9_000.0)
    for number in range(4):
        trail.record_answer("page", trail.record_attempt("page"))
        span = trail.close_interval(
            view_id(VIEW), {"page": [number + 1, 0, 0]}, NOW_MS - 8_000.0 + 1_000.0 * number
        )
        checkpoint = trail.checkpoint({"page": [number + 1, 0, 0]}, NOW_MS)
        page = LogPage(DIRECTOR, START, [span], {view_id(VIEW): VIEW}, checkpoint)
        whole = LogPage(DIRECTOR, START, trail.intervals(), {view_id(VIEW): VIEW}, checkpoint)
        assert store.write(page, [whole] if number == 1 else None)
    store.close()


def make_learnt(folder: Path) -> None:
    store = StateStore(folder, DIRECTOR, busy_router(), lambda: NOW_MS, 1_000.0, 60_000.0)
    asyncio.run(store.write())
    for number in range(3):
        store.keys.write(f"key-{number}", NOW_MS + number, "root")
    store.close()


def make_handover(folder: Path) -> None:
    folder.mkdir()
    document = Handover(DIRECTOR, NOW_MS, {"c1": NOW_MS - 5.0}, {"c2": NOW_MS - 4.0}, rev=3)
    document.keys = {"key": [KeyAttempt(NOW_MS - 3.0, "root")]}
    document.learned_state = take_snapshot(busy_router())
    assert HandoverFile(str(folder)).write(document)


FORMS: dict[str, Callable[[Path], None]] = {
    "log": make_log,
    "leases": make_leases,
    "audit": make_audit,
    "trail": make_trail,
    "learnt": make_learnt,
    "handover": make_handover,
}


def main(names: list[str]) -> None:
    for name in names or FORMS:
        folder = HERE / name
        shutil.rmtree(folder, ignore_errors=True)
        FORMS[name](folder)
        for lock in folder.rglob("LOCK"):
            lock.unlink()


if __name__ == "__main__":
    main(sys.argv[1:])
