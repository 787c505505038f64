"""Writes one folder of each stored form next to this script, by the present version of the program.

The folders are committed, and `tests/storage/test_stored_forms.py` checks that later versions can read them.
Run this only when a form is added, and commit only the new folder:

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
START_MS = 1_700_000_000_000
VIEW = View(
    list_source="board", rev=3, list="digest", purges="feed:1=2", settings="s", operator="o", program="p"
)


def make_busy_router() -> Router:
    router = Router(settings(), 1)
    router.handle(NOW_MS - 2_000.0, Members(ListKind.COMPLETE, members()))
    for number in range(30):
        request = Request(number + 1, "film", number % 5 + 1, NOW_MS + 9_000.0, size_kb=100.0)
        router.handle(NOW_MS - 1_000.0 + number, request)
    return router


def make_log(folder: Path) -> None:
    """A snapshot, two segments after it, and a torn record."""
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
    server = LeaseServer(
        "lease-server", Folder(folder), str, lambda: now_ms[0], 100.0, [], is_first_start=True
    )
    now_ms[0] = 1_000.0

    async def request_lease(token: int, progress: str) -> None:
        batch = LeaseRequestBatch(
            [LeaseRequest("orders-001", DIRECTOR, token, 50.0)], {"orders-001": progress}
        )
        await server._on_requests(
            HttpRequest("POST", "/leases", "", {}, msgspec.json.encode(batch)), "caller"
        )
        now_ms[0] += 1_000.0

    for token in (1, 2, 5):
        asyncio.run(request_lease(token, f"progress under {token}"))
    asyncio.run(server.close())


def make_audit(folder: Path) -> None:
    server = AuditServer("feed", Folder(folder), str, lambda: NOW_MS)
    activity_log = ActivityLog(DIRECTOR, START_MS, view_id(VIEW), {"page": 1.0}, NOW_MS - 9_000.0)
    for number in range(3):
        for _ in range(number + 1):
            activity_log.record_answer("page", activity_log.record_attempt("page"))
        activity_log.close_interval(
            view_id(VIEW), {"page": [number + 1, 0, 0]}, NOW_MS - 8_000.0 + 1_000.0 * number
        )

    async def send_report() -> None:
        server.start()
        views = {view_id(VIEW): VIEW}
        report = Report(DIRECTOR, START_MS, "edge", NOW_MS, VIEW, activity_log.unreported(10), views)
        await server._on_report(HttpRequest("POST", "/reports", "", {}, msgspec.json.encode(report)), "")
        expected = msgspec.json.encode(ExpectedDigests("settings", ("s",), NOW_MS))
        await server._on_expect(HttpRequest("POST", "/fleet/expect", "", {}, expected), "operator")
        await server.close()

    asyncio.run(send_report())


def make_activity_log(folder: Path) -> None:
    store = ActivityLogStore(folder)
    activity_log = ActivityLog(DIRECTOR, START_MS, view_id(VIEW), {"page": 1.0}, NOW_MS - 9_000.0)
    for number in range(4):
        activity_log.record_answer("page", activity_log.record_attempt("page"))
        interval = activity_log.close_interval(
            view_id(VIEW), {"page": [number + 1, 0, 0]}, NOW_MS - 8_000.0 + 1_000.0 * number
        )
        checkpoint = activity_log.checkpoint({"page": [number + 1, 0, 0]}, NOW_MS)
        page = LogPage(DIRECTOR, START_MS, [interval], {view_id(VIEW): VIEW}, checkpoint)
        full_page = LogPage(DIRECTOR, START_MS, activity_log.intervals(), {view_id(VIEW): VIEW}, checkpoint)
        assert store.write(page, [full_page] if number == 1 else None)
    store.close()


def make_learned_state(folder: Path) -> None:
    store = StateStore(folder, DIRECTOR, make_busy_router(), lambda: NOW_MS, 1_000.0, 60_000.0)
    asyncio.run(store.write())
    for number in range(3):
        store.keys.write(f"key-{number}", NOW_MS + number, "root")
    store.close()


def make_handover(folder: Path) -> None:
    folder.mkdir()
    document = Handover(DIRECTOR, NOW_MS, {"c1": NOW_MS - 5.0}, {"c2": NOW_MS - 4.0}, rev=3)
    document.keys = {"key": [KeyAttempt(NOW_MS - 3.0, "root")]}
    document.learned_state = take_snapshot(make_busy_router())
    assert HandoverFile(str(folder)).write(document)


FORMS: dict[str, Callable[[Path], None]] = {
    "log": make_log,
    "leases": make_leases,
    "audit": make_audit,
    "trail": make_activity_log,
    "learnt": make_learned_state,
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
