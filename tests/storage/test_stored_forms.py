"""Files that an earlier version stored must be readable: those in `tests/data/stored`, which `make.py` there
wrote before the log could continue after a failed sync."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

import msgspec
import pytest
from conftest import members, settings

from gladelane.audit.activity_log import is_seal_valid
from gladelane.audit.activity_log_store import ActivityLogStore
from gladelane.audit.audit_queries import directors
from gladelane.audit.server import AuditServer
from gladelane.audit.verification import find_inconsistencies
from gladelane.control_plane.http import Request as HttpRequest
from gladelane.hot_restart.handover_file import HandoverFile
from gladelane.leases.server import LeaseServer
from gladelane.recovery.state_store import StateStore
from gladelane.routing.events import ListKind, Members
from gladelane.routing.idempotency import KeyWindows, is_past_window
from gladelane.routing.router import Router
from gladelane.storage.files import Folder
from gladelane.storage.log import recover

NOW_MS = 1_700_000_000_000.0
DIRECTOR = "director-0"
START_MS = 1_700_000_000_000


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    return Path(shutil.copytree(Path(__file__).parents[1] / "data" / "stored", tmp_path / "stored"))


def test_a_stored_log_with_a_snapshot_two_segments_and_a_torn_tail_is_read(stored: Path) -> None:
    disk = Folder(stored / "log")
    log, found = recover(disk)
    assert found.snapshot == b"the first six" and found.first_index == 6
    assert found.records == [b"record %d " % n + b"x" * (7 * n) for n in range(6, 12)]
    assert (
        found.truncated_bytes == 10
        and found.truncated_at.startswith(disk.names()[-1])
        and log.next_index == 12
    )
    log.append(b"after")
    log.commit()
    assert recover(disk)[1].records[-1] == b"after" and recover(disk)[1].truncated_bytes == 0


def test_stored_leases_are_read(stored: Path) -> None:
    server = LeaseServer("lease-server", Folder(stored / "leases"), str, lambda: 0.0, 100.0, [])
    response = msgspec.json.decode(
        asyncio.run(server._on_known_tokens(HttpRequest("GET", "/leases/numbers", "", {}, b""), "caller"))
    )
    assert response["numbers"] == {"orders-001": 5} and server.acceptor.token_floor == 0
    assert response["progress"] == {"orders-001": [5, "progress under 5"]}


def test_the_stored_reports_of_an_audit_server_are_read(stored: Path) -> None:
    server = AuditServer("feed", Folder(stored / "audit"), str, lambda: NOW_MS + 1_000.0)
    report_log = server.store
    assert (
        directors(report_log) == [DIRECTOR]
        and report_log.stored_upto((DIRECTOR, START_MS)) == 3
        and report_log.interval_count == 3
    )
    assert find_inconsistencies(report_log) == [] and server.monitor.versions.expects["settings"].digests == (
        "s",
    )


def test_the_stored_activity_log_of_a_director_is_read(stored: Path) -> None:
    store = ActivityLogStore(stored / "trail")
    (page,) = store.recovered_pages
    assert (page.director, page.start) == (DIRECTOR, START_MS)
    assert [interval.number for interval in page.intervals] == [1, 2, 3, 4] and page.open is not None
    assert all(
        is_seal_valid(interval.seal, following)
        for interval, following in zip(page.intervals, page.intervals[1:], strict=False)
    )


def test_stored_learned_state_and_keys_are_read(stored: Path) -> None:
    router, keys = Router(settings(), 2), KeyWindows(10_000.0, 100)
    router.handle(NOW_MS + 500.0, Members(ListKind.COMPLETE, members()))
    store = StateStore(stored / "learnt", DIRECTOR, router, lambda: NOW_MS + 500.0, 1_000.0, 60_000.0)
    store.restore(keys)
    assert store.is_warm and len(router.objects) == 5
    # The files have no time since the boot, so it is unknown when a key was used: it must not be tried again.
    for key in (f"key-{n}" for n in range(3)):
        ran_ms, server = keys.first_attempt(key, NOW_MS + 500.0)
        assert server == "root" and is_past_window([ran_ms], NOW_MS + 500.0, 6_000.0, 0.0)
        assert keys.first_attempt(key, NOW_MS + 9_000.0)[1] == "root", "known for the full retention"


def test_a_stored_hand_over_is_read(stored: Path) -> None:
    document = HandoverFile(str(stored / "handover")).read(DIRECTOR)
    assert (
        document is not None and document.maintenance_started_ms == {"c1": NOW_MS - 5.0} and document.rev == 3
    )
    assert document.keys == {"key": [(NOW_MS - 3.0, "root")]}
    assert document.learned_state is not None and len(document.learned_state.objects) == 5
