"""The control server's report log and a director's activity log while their disks accept no writes for a
while."""

from __future__ import annotations

import asyncio
import errno
import os
import random
from pathlib import Path
from typing import Any

import pytest
from conftest import settings
from disk_faults import FAULTS, UNSYNCED_LOG_FAULTS, disks_after_crash, fault, has_one_outage_logged
from test_audit_pure import make_log, make_report, make_view, make_view_id

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

RUN_ID = ("d", 1)
NOW_MS = 5_000.0


def make_intervals(count: int) -> list[ActivityInterval]:
    return make_log(count, random.Random(7))[0].intervals()


async def send_report(server: AuditServer, intervals: list[ActivityInterval]) -> ReportReply:
    log, _ = make_log(1, random.Random(7))
    return await server.intake.handle_report(make_report(log, intervals))


def open_server(disk: SimDisk) -> AuditServer:
    return AuditServer("feed", disk, str, lambda: NOW_MS)


def stored_after_crashes(disk: SimDisk) -> list[int]:
    """The last stored interval of the director, for each state that a crash at this moment may leave on the
    disk."""
    return [
        open_server(disk_after_crash).store.stored_upto(RUN_ID)
        for disk_after_crash in disks_after_crash(disk)
    ]


@pytest.mark.parametrize("name", FAULTS)
def test_server_with_a_failing_disk_grants_leases_but_acknowledges_only_stored_intervals(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    intervals = make_intervals(6)

    async def scenario() -> None:
        disk = SimDisk()
        server = open_server(disk)
        server.start()
        first = await send_report(server, intervals[:2])
        assert first.stored == 2 and first.stores
        disk.fault = FAULTS[name]
        for last_number in (3, 4, 4):
            answer = await send_report(server, intervals[2:last_number])
            assert answer.stored == 2 and answer.lease_ms > 0.0 and not answer.stores
        for rejected_call in (
            server.intake.handle_expected(ExpectedDigests("settings", ("s",)), "operator"),
            server.intake.handle_replicated(
                ReplicatedReports("peer", 1, [make_report(make_log(1, random.Random(7))[0], intervals[2:3])])
            ),
        ):
            with pytest.raises(HttpStatusError, match="not stored") as caught:
                await rejected_call
            assert caught.value.status == 507
        assert not server.monitor.versions.expects and server.answers.versions().lacks
        assert all(last_number >= 2 for last_number in stored_after_crashes(disk))
        disk.fault = None
        assert (await send_report(server, intervals[2:])).stored == 6 and not server.answers.versions().lacks
        await server.intake.handle_expected(ExpectedDigests("settings", ("s",)), "operator")
        for disk_after_crash in disks_after_crash(disk):
            restarted = open_server(disk_after_crash)
            assert restarted.store.stored_upto(RUN_ID) == 6 and find_inconsistencies(restarted.store) == []
            assert restarted.monitor.versions.expects["settings"].digests == ("s",)
        await server.close()

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "audit: reports")


def test_failed_snapshot_rejects_no_reports(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(report_log_module, "SNAPSHOT_AFTER", 2)
    intervals = make_intervals(6)

    async def scenario() -> None:
        disk = SimDisk()
        server = open_server(disk)
        server.start()
        disk.fault = fault(errno.EIO, Operation.REPLACE)
        for number in range(1, 5):
            assert (await send_report(server, intervals[number - 1 : number])).stored == number
            assert not server.answers.versions().lacks
        disk.fault = None
        assert (await send_report(server, intervals[4:])).stored == 6
        while server.report_log.snapshot_outage.is_ongoing:
            await asyncio.sleep(0.001)
        assert [name for name in disk.names() if name.endswith(".snap")]
        assert stored_after_crashes(disk) == [6] * 9
        await server.close()

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "audit: snapshot")


def make_page(intervals: list[ActivityInterval]) -> LogPage:
    return LogPage("d", 1, intervals, {make_view_id(0): make_view(0)})


def open_log_store(disk: SimDisk, monkeypatch: pytest.MonkeyPatch) -> ActivityLogStore:
    monkeypatch.setattr(activity_log_store_module, "Folder", lambda path: disk)
    return ActivityLogStore(Path("trail"))


@pytest.mark.parametrize("name", UNSYNCED_LOG_FAULTS)
def test_intervals_that_could_not_be_stored_are_stored_with_the_next_page(
    name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    intervals, disk = make_intervals(4), SimDisk()
    store = open_log_store(disk, monkeypatch)
    assert store.write(make_page(intervals[:1]), None)
    disk.fault = FAULTS[name]
    assert not store.write(make_page(intervals[1:2]), None) and not store.write(
        make_page(intervals[1:3]), None
    )
    assert [
        interval.number
        for one in open_log_store(disk.after_kill(), monkeypatch).recovered_pages
        for interval in one.intervals
    ][0] == 1
    disk.fault = None
    assert store.write(make_page(intervals[1:]), None)
    (page,) = open_log_store(disk.after_kill(), monkeypatch).recovered_pages
    assert page.intervals == intervals
    assert has_one_outage_logged(caplog, "audit: activity log")


def test_page_whose_snapshot_fails_is_stored_once(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    intervals, disk = make_intervals(3), SimDisk()
    store = open_log_store(disk, monkeypatch)
    disk.fault = fault(errno.EIO, Operation.REPLACE)
    for number in range(3):
        assert store.write(make_page(intervals[number : number + 1]), [make_page(intervals[: number + 1])])
    disk.fault = None
    assert open_log_store(disk.after_kill(), monkeypatch).recovered_pages[0].intervals == intervals
    assert store.write(make_page([]), [make_page(intervals)])
    assert open_log_store(disk.after_kill(), monkeypatch).recovered_pages[0].intervals == intervals
    assert has_one_outage_logged(caplog, "audit: snapshot of the activity log")


def test_folder_is_released_after_a_read_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def failing(self: Folder, name: str) -> bytes:
        raise OSError(errno.EIO, "Input/output error")

    store = ActivityLogStore(tmp_path)
    assert store.write(make_page(make_intervals(1)), None)
    store.close()
    with monkeypatch.context() as broken:
        broken.setattr(Folder, "read", failing)
        for _ in range(2):
            with pytest.raises(OSError, match="Input/output") as caught:
                ActivityLogStore(tmp_path)
            assert not isinstance(caught.value, FolderInUseError)
    assert len(ActivityLogStore(tmp_path).recovered_pages) == 1


class FakeDirectorParts:
    """The interfaces of other components that a director's audit uses."""

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


def make_service(folder: Path | None = None) -> AuditService:
    parts: Any = FakeDirectorParts()
    options = AuditOptions(dir=str(folder) if folder is not None else "")
    return AuditService(options, "n0", parts, parts, lambda: NOW_MS, parts, lambda: None, lambda: None)


def test_folder_that_cannot_be_opened_at_first_is_opened_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    earlier = ActivityLogStore(tmp_path)
    intervals = make_intervals(2)
    assert earlier.write(LogPage("n0", 1, intervals, {make_view_id(0): make_view(0)}), None)
    earlier.close()

    def failing(path: Path) -> Folder:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as broken:
        broken.setattr(activity_log_store_module, "Folder", failing)
        audit = make_service(tmp_path)
        audit.writer.reopen_ms = 0.0
        asyncio.run(audit.write())
    assert audit.writer.store is None and not audit.reporter.earlier_runs
    audit.writer.reopen_ms = 0.0
    asyncio.run(audit.write())
    assert audit.writer.store is not None and [
        interval.number for interval in audit.reporter.earlier_runs[0].page.intervals
    ] == [1, 2]
    audit.writer.store.close()
    assert has_one_outage_logged(caplog, "audit: activity log folder")
    with monkeypatch.context() as broken:
        broken.setattr(
            activity_log_store_module, "Folder", lambda path: os.open(path / "nowhere", os.O_RDONLY)
        )
        with pytest.raises(FileNotFoundError):
            make_service(tmp_path)


@pytest.mark.parametrize("stores", [True, False])
def test_director_reports_to_another_server_if_the_disk_of_this_one_fails(
    stores: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    audit = make_service()
    requested_ports: list[int] = []

    async def fake_fetch(host: str, port: int, *given: Any, **more: Any) -> bytes:
        requested_ports.append(port)
        return encode_json(ReportReply("feed", 1, NOW_MS, 0, 0, 3_000.0, stores=stores))

    async def scenario() -> None:
        for _ in range(2):
            assert await audit.reporter.report(1.0)

    monkeypatch.setattr(reporter_module, "fetch", fake_fetch)
    asyncio.run(scenario())
    assert (requested_ports[0] == requested_ports[1]) is stores and audit.lease.permits(False, steady_ms())
