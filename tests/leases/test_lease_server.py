"""A lease server whose disk fails for a while."""

from __future__ import annotations

import asyncio
import errno
import threading

import pytest
from disk_faults import FAULTS, crashed, fault, said_once

from gladelane.lab.simdisk import Operation, SimDisk
from gladelane.leases import token_store
from gladelane.leases.messages import LeaseReply, LeaseRequest, LeaseRequestBatch, ResourceProgress
from gladelane.leases.server import LeaseServer
from gladelane.storage.files import Disk


class SingleServer:
    """A lease server without peers that is ready to grant."""

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


def restarted(disk: Disk) -> LeaseServer:
    return LeaseServer("server", disk, str, lambda: 0.0, 3_000.0, [])


@pytest.mark.parametrize("name", FAULTS)
def test_no_token_is_granted_that_is_not_stored_and_leases_of_stored_ones_are_renewed(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        disk = SimDisk()
        single = SingleServer(disk)
        assert (await single.claim("held", 1, progress="before")).is_granted
        disk.fault = FAULTS[name]
        for _ in range(3):  # as a client repeats a claim that had no reply
            assert not (await single.claim("new", 1)).is_granted
            assert (await single.claim("held", 1, progress="during")).is_granted, "its token is stored"
        assert not (await single.claim("new", 2, "b")).is_granted
        assert all(restarted(left).acceptor.tokens["held"] == 1 for left in crashed(disk))
        disk.fault = None
        assert not (await single.claim("new", 2, "b")).is_granted, "a token is not granted a second time"
        assert (await single.claim("new", 3, "b")).is_granted
        assert (await single.claim("held", 1)).is_granted
        for left in crashed(disk):
            found = restarted(left)
            assert found.acceptor.tokens == {"held": 1, "new": 3}
            assert found.store.progress == {"held": ResourceProgress(1, "during")}

    asyncio.run(scene())
    assert said_once(caplog, "lease server: tokens")


def test_a_claim_that_is_repeated_while_its_token_is_being_stored_waits_for_it() -> None:
    syncing, may_sync = threading.Event(), threading.Event()

    class SlowDisk(SimDisk):
        def sync(self, name: str) -> None:
            syncing.set()
            assert may_sync.wait(5.0)
            super().sync(name)

    async def scene() -> None:
        single = SingleServer(SlowDisk())
        first = asyncio.ensure_future(single.claim("resource", 1))
        while not syncing.is_set():
            await asyncio.sleep(0.001)
        second = asyncio.ensure_future(single.claim("resource", 1))
        await asyncio.sleep(0.05)
        assert not first.done() and not second.done()
        may_sync.set()
        assert (await first).is_granted and (await second).is_granted

    asyncio.run(scene())


def test_a_snapshot_that_fails_refuses_no_claim(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(token_store, "SNAPSHOT_AFTER_RECORDS", 2)

    async def scene() -> None:
        disk = SimDisk()
        single = SingleServer(disk)
        disk.fault = fault(errno.EIO, Operation.REPLACE)
        for token in range(1, 5):
            assert (await single.claim(f"resource-{token}", token)).is_granted
        disk.fault = None
        assert (await single.claim("last", 1)).is_granted
        assert [name for name in disk.names() if name.endswith(".snap")]
        for left in crashed(disk):
            assert len(restarted(left).acceptor.tokens) == 5

    asyncio.run(scene())
    assert said_once(caplog, "lease server: snapshot")
