"""The audit's store and a director's trail, while their disks take nothing for a while."""

from __future__ import annotations

import asyncio
import errno
import os
import random
from pathlib import Path
from typing import Any

import pytest
from conftest import settings
from disk_faults import FAULTS, UNSYNCED, crashed, fault, said_once
from test_audit_pure import report, trail_of, view_name, view_of

from gladelane.admin.maintenance import MaintenanceRegister
from gladelane.admin.metrics import Metrics
from gladelane.audit import activity_log_store as activity_log_store_module
from gladelane.audit import report_log as report_log_module
from gladelane.audit import reporter as reporter_module
from gladelane.audit.activity_log import ActivityInterval
from gladelane.audit.activity_log_store import ActivityLogStore, LogPage
from gladelane.audit.options import AuditOptions
from gladelane.audit.server import AuditServer
from gladelane.audit.service import AuditService
from gladelane.audit.steady import steady_ms
from gladelane.audit.verification import find_inconsistencies
from gladelane.audit.wire import ExpectedDigests, ReplicatedReports, ReportReply, encode_json
from gladelane.control_plane.http import HttpStatusError
from gladelane.lab.simdisk import Operation, SimDisk
from gladelane.purges.active_purges import ActivePurges
from gladelane.storage.files import Folder, FolderInUseError

RUN = ("d", 1)
NOW_MS = 5_000.0


def spans_of(count: int) -> list[ActivityInterval]:
    return trail_of(count, random.Random(7))[0].intervals()


async def reported(collector: AuditServer, spans: list[ActivityInterval]) -> ReportReply:
    trail, _ = trail_of(1, random.Random(7))
    return await collector.intake.handle_report(report(trail, spans))


def opened(disk: SimDisk) -> AuditServer:
    return AuditServer("feed", disk, str, lambda: NOW_MS)


def acknowledged(disk: SimDisk) -> list[int]:
    """Up to where each process that may come after a crash now has the director's spans."""
    return [opened(left).store.stored_upto(RUN) for left in crashed(disk)]


@pytest.mark.parametrize("name", FAULTS)
def test_a_feed_whose_disk_fails_goes_on_judging_and_acknowledges_only_what_is_stored(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    spans = spans_of(6)

    async def scene() -> None:
        disk = SimDisk()
        collector = opened(disk)
        collector.start()
        first = await reported(collector, spans[:2])
        assert first.stored == 2 and first.stores
        disk.fault = FAULTS[name]
        for upto in (3, 4, 4):
            answer = await reported(collector, spans[2:upto])
            assert answer.stored == 2 and answer.lease_ms > 0.0 and not answer.stores
        for refused in (
            collector.intake.handle_expected(ExpectedDigests("settings", ("s",)), "operator"),
            collector.intake.handle_replicated(
                ReplicatedReports("peer", 1, [report(trail_of(1, random.Random(7))[0], spans[2:3])])
            ),
        ):
            with pytest.raises(HttpStatusError, match="not stored") as caught:
                await refused
            assert caught.value.status == 507
        assert not collector.monitor.versions.expects and collector.answers.versions().lacks
        assert all(upto >= 2 for upto in acknowledged(disk))
        disk.fault = None
        assert (await reported(collector, spans[2:])).stored == 6 and not collector.answers.versions().lacks
        await collector.intake.handle_expected(ExpectedDigests("settings", ("s",)), "operator")
        for left in crashed(disk):
            found = opened(left)
            assert found.store.stored_upto(RUN) == 6 and find_inconsistencies(found.store) == []
            assert found.monitor.versions.expects["settings"].digests == ("s",)
        await collector.close()

    asyncio.run(scene())
    assert said_once(caplog, "audit: reports")


def test_a_snapshot_of_the_audit_that_fails_refuses_nothing(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(report_log_module, "SNAPSHOT_AFTER", 2)
    spans = spans_of(6)

    async def scene() -> None:
        disk = SimDisk()
        collector = opened(disk)
        collector.start()
        disk.fault = fault(errno.EIO, Operation.REPLACE)
        for number in range(1, 5):
            assert (await reported(collector, spans[number - 1 : number])).stored == number
            assert not collector.answers.versions().lacks
        disk.fault = None
        assert (await reported(collector, spans[4:])).stored == 6
        while collector.report_log.snapshot_outage.is_ongoing:
            await asyncio.sleep(0.001)
        assert [name for name in disk.names() if name.endswith(".snap")]
        assert acknowledged(disk) == [6] * 9
        await collector.close()

    asyncio.run(scene())
    assert said_once(caplog, "audit: snapshot")


def page(spans: list[ActivityInterval]) -> LogPage:
    return LogPage("d", 1, spans, {view_name(0): view_of(0)})


def trail_store(disk: SimDisk, monkeypatch: pytest.MonkeyPatch) -> ActivityLogStore:
    monkeypatch.setattr(activity_log_store_module, "Folder", lambda path: disk)
    return ActivityLogStore(Path("trail"))


@pytest.mark.parametrize("name", UNSYNCED)
def test_a_trail_that_could_not_be_stored_is_stored_with_the_next_page(
    name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    spans, disk = spans_of(4), SimDisk()
    store = trail_store(disk, monkeypatch)
    assert store.write(page(spans[:1]), None)
    disk.fault = FAULTS[name]
    assert not store.write(page(spans[1:2]), None) and not store.write(page(spans[1:3]), None)
    assert [
        span.number
        for one in trail_store(disk.after_kill(), monkeypatch).recovered_pages
        for span in one.intervals
    ][0] == 1
    disk.fault = None
    assert store.write(page(spans[1:]), None)
    (left,) = trail_store(disk.after_kill(), monkeypatch).recovered_pages
    assert left.intervals == spans
    assert said_once(caplog, "audit: activity log")


def test_a_page_whose_snapshot_fails_is_stored_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    spans, disk = spans_of(3), SimDisk()
    store = trail_store(disk, monkeypatch)
    disk.fault = fault(errno.EIO, Operation.REPLACE)
    for number in range(3):
        assert store.write(page(spans[number : number + 1]), [page(spans[: number + 1])])
    disk.fault = None
    assert trail_store(disk.after_kill(), monkeypatch).recovered_pages[0].intervals == spans
    assert store.write(page([]), [page(spans)])
    assert trail_store(disk.after_kill(), monkeypatch).recovered_pages[0].intervals == spans
    assert said_once(caplog, "audit: snapshot of the activity log")


def test_a_folder_that_could_not_be_read_is_not_in_use_at_the_next_try(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def failing(self: Folder, name: str) -> bytes:
        raise OSError(errno.EIO, "Input/output error")

    store = ActivityLogStore(tmp_path)
    assert store.write(page(spans_of(1)), None)
    store.close()
    with monkeypatch.context() as broken:
        broken.setattr(Folder, "read", failing)
        for _ in range(2):
            with pytest.raises(OSError, match="Input/output") as caught:
                ActivityLogStore(tmp_path)
            assert not isinstance(caught.value, FolderInUseError)
    assert len(ActivityLogStore(tmp_path).recovered_pages) == 1


class Parts:
    """All that a director's audit asks of the other parts."""

    def __init__(self) -> None:
        self.settings = settings()
        self.rev, self.register, self.metrics, self.active = (
            1,
            MaintenanceRegister(),
            Metrics(),
            ActivePurges(),
        )
        self.options = self
        self.strict: frozenset[str] = frozenset()
        self.servers = (("127.0.0.1", 1), ("127.0.0.1", 2))

    def known_endpoints(self) -> dict[str, Any]:
        return {}

    def own_token(self) -> str:
        return ""


def service(folder: Path | None = None) -> AuditService:
    parts: Any = Parts()
    options = AuditOptions(dir=str(folder) if folder is not None else "")
    return AuditService(options, "n0", parts, parts, lambda: NOW_MS, parts, lambda: None, lambda: None)


def test_a_trail_whose_folder_cannot_be_opened_for_a_while_is_stored_once_it_can(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    earlier = ActivityLogStore(tmp_path)
    spans = spans_of(2)
    assert earlier.write(LogPage("n0", 1, spans, {view_name(0): view_of(0)}), None)
    earlier.close()

    def failing(path: Path) -> Folder:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as broken:
        broken.setattr(activity_log_store_module, "Folder", failing)
        one = service(tmp_path)
        one.writer.reopen_ms = 0.0
        asyncio.run(one.write())
    assert one.writer.store is None and not one.reporter.earlier_runs
    one.writer.reopen_ms = 0.0
    asyncio.run(one.write())
    assert one.writer.store is not None and [
        span.number for span in one.reporter.earlier_runs[0].page.intervals
    ] == [1, 2]
    one.writer.store.close()
    assert said_once(caplog, "audit: activity log folder")
    with monkeypatch.context() as broken:
        broken.setattr(
            activity_log_store_module, "Folder", lambda path: os.open(path / "nowhere", os.O_RDONLY)
        )
        with pytest.raises(FileNotFoundError):
            service(tmp_path)


@pytest.mark.parametrize("stores", [True, False])
def test_a_director_reports_next_to_another_feed_where_this_ones_disk_takes_nothing(
    stores: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = service()
    asked: list[int] = []

    async def answered(host: str, port: int, *given: Any, **more: Any) -> bytes:
        asked.append(port)
        return encode_json(ReportReply("feed", 1, NOW_MS, 0, 0, 3_000.0, stores=stores))

    async def scene() -> None:
        for _ in range(2):
            assert await one.reporter.report(1.0)

    monkeypatch.setattr(reporter_module, "fetch", answered)
    asyncio.run(scene())
    assert (asked[0] == asked[1]) is stores and one.lease.permits(False, steady_ms())
