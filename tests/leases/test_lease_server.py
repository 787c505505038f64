"""Lease servers whose disk fails temporarily or is slow."""

from __future__ import annotations

import asyncio
import errno
import threading

import pytest
from disk_faults import FAULTS, disks_after_crash, fault, has_one_outage_logged

from gladelane.lab.simdisk import Operation, SimDisk
from gladelane.leases import token_store
from gladelane.leases.messages import LeaseReply, LeaseRequest, LeaseRequestBatch, ResourceProgress
from gladelane.leases.server import LeaseServer
from gladelane.storage.files import Disk


class SingleServer:
    """A lease server without peers that is ready to grant leases."""

    def __init__(self, disk: Disk) -> None:
        self.now_ms = 0.0
        self.server = LeaseServer("server", disk, str, lambda: self.now_ms, 3_000.0, [], is_first_start=True)
        self.now_ms = 10_000.0

    async def claim(
        self, resource: str, fencing_token: int, holder: str = "a", progress: str = ""
    ) -> LeaseReply:
        self.now_ms += 100.0
        request = LeaseRequest(resource, holder, fencing_token, 2_000.0)
        batch = LeaseRequestBatch([request], {resource: progress} if progress else {})
        return (await self.server.handle_requests(batch)).replies[0]


def restarted_server(disk: Disk) -> LeaseServer:
    return LeaseServer("server", disk, str, lambda: 0.0, 3_000.0, [])


@pytest.mark.parametrize("name", FAULTS)
def test_a_failing_disk_prevents_new_grants_but_not_renewals(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def run() -> None:
        disk = SimDisk()
        single = SingleServer(disk)
        assert (await single.claim("held", 1, progress="before")).is_granted
        disk.fault = FAULTS[name]
        for _ in range(3):  # a client repeats a claim that failed
            assert not (await single.claim("new", 1)).is_granted
            assert (await single.claim("held", 1, progress="during")).is_granted, "its token is stored"
        assert not (await single.claim("new", 2, "b")).is_granted
        assert all(
            restarted_server(remaining).acceptor.tokens["held"] == 1 for remaining in disks_after_crash(disk)
        )
        disk.fault = None
        assert not (await single.claim("new", 2, "b")).is_granted, "a token is not granted a second time"
        assert (await single.claim("new", 3, "b")).is_granted
        assert (await single.claim("held", 1)).is_granted
        for remaining in disks_after_crash(disk):
            restarted = restarted_server(remaining)
            assert restarted.acceptor.tokens == {"held": 1, "new": 3}
            assert restarted.store.progress == {"held": ResourceProgress(1, "during")}

    asyncio.run(run())
    assert has_one_outage_logged(caplog, "lease server: tokens")


def test_a_repeated_claim_waits_until_its_token_is_stored() -> None:
    syncing, may_sync = threading.Event(), threading.Event()

    class SlowDisk(SimDisk):
        def sync(self, name: str) -> None:
            syncing.set()
            assert may_sync.wait(5.0)
            super().sync(name)

    async def run() -> None:
        single = SingleServer(SlowDisk())
        first = asyncio.ensure_future(single.claim("resource", 1))
        while not syncing.is_set():
            await asyncio.sleep(0.001)
        second = asyncio.ensure_future(single.claim("resource", 1))
        await asyncio.sleep(0.05)
        assert not first.done() and not second.done()
        may_sync.set()
        assert (await first).is_granted and (await second).is_granted

    asyncio.run(run())


def test_claims_are_granted_although_a_snapshot_fails(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(token_store, "SNAPSHOT_AFTER_RECORDS", 2)

    async def run() -> None:
        disk = SimDisk()
        single = SingleServer(disk)
        disk.fault = fault(errno.EIO, Operation.REPLACE)
        for token in range(1, 5):
            assert (await single.claim(f"resource-{token}", token)).is_granted
        disk.fault = None
        assert (await single.claim("last", 1)).is_granted
        assert [name for name in disk.names() if name.endswith(".snap")]
        for remaining in disks_after_crash(disk):
            assert len(restarted_server(remaining).acceptor.tokens) == 5

    asyncio.run(run())
    assert has_one_outage_logged(caplog, "lease server: snapshot")
