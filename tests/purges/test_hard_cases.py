"""Purges on sockets: joined fills, lost orders, crashes at every write, and TLS."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import random
import ssl
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from harness import Client, async_test, config, running_director, wait_until
from test_net_rules import make_flush, outcomes, record_events
from test_purge_log import TOKEN, ServedLog, tokens, unix_ms

from gladelane.control_plane.http import fetch
from gladelane.discovery.events import WatchEvent
from gladelane.endpoints.address import Family
from gladelane.endpoints.plan import Endpoints
from gladelane.endpoints.rules import Listing
from gladelane.lab.fake_cache_store import FakeCacheStore, now_ms
from gladelane.lab.fake_server import FakeServer, Fault
from gladelane.lab.simdisk import Crash, Lost, SimDisk
from gladelane.purges.entries import NewPurge
from gladelane.purges.index import Index
from gladelane.purges.options import Options
from gladelane.purges.order_sender import OrderSender
from gladelane.purges.orders import Orders
from gladelane.purges.purge import Purge
from gladelane.purges.purge_log import PurgeLog
from gladelane.purges.subscription import PurgeSubscription
from gladelane.routing.events import Status


@async_test
async def test_no_later_request_gets_the_old_copy_of_a_fill_that_was_in_progress_during_a_purge() -> None:
    """A fill reads the old copy before a purge. A cache may let a request after the purge join that fill, so the director
    has to reject the old copy."""
    origin = FakeCacheStore()
    hub = FakeCacheStore({"r0": origin}, 0.01)
    cache = FakeCacheStore({"p0": hub, "r0": origin}, 0.3)
    # once the director knows of the purge, it asks caches not to join fills; this cache does it all the same
    cache.eager = True
    object_id = "7f3a9c21e0b4d655"
    stores = {"c0": cache, "p0": hub, "r0": origin}
    fake_servers = {name: FakeServer(name, store.answer) for name, store in stores.items()}
    addresses = {name: await fake_server.listen(Family.V4) for name, fake_server in fake_servers.items()}
    async with running_director(config(addresses)) as (node, client):
        hub.copies[object_id, 3] = now_ms() - 5000.0  # the old copy
        events = record_events(node.director)
        other_client = await Client.connect(node.port)
        client.ask(1, d="3000")
        await wait_until(lambda: cache.filling)  # the fill has read the old copy, and is in progress
        purged_ms = now_ms()
        node.director.apply_watch_event(WatchEvent(2, flush=make_flush(asset=object_id, ms=purged_ms)))
        await asyncio.sleep(0.05)
        other_client.ask(2, d="3000")  # joins that fill
        answers = [await client.next(), await other_client.next()]
        # the first request was sent before the director knew of the purge
        assert answers[0][2] == 0 and float(answers[0][4][1:]) < purged_ms
        assert cache.joins >= 1 and Status.ERROR in {o[2] for o in outcomes(events)}
        assert answers[1][2] != 0 or float(answers[1][4][1:]) >= purged_ms - 5.0
        other_client.ask(3, d="3000")
        final = await other_client.next()
        assert final[2] == 0 and float(final[4][1:]) >= purged_ms - 5.0
        other_client.writer.close()
    for fake_server in fake_servers.values():
        await fake_server.close()


class CountingBudget:
    """A budget of sockets that only counts them, on the clock of the event loop."""

    def __init__(self) -> None:
        self.held = 0

    def clock(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    def at(self, due_ms: float, call: Any) -> Any:
        return asyncio.get_running_loop().call_later(max(due_ms - self.clock(), 0.0) / 1000.0, call)

    def spare_sockets(self) -> int:
        return 9

    def hold(self, sockets: int) -> None:
        self.held += sockets


@async_test
async def test_lost_orders_are_retried_and_a_restarted_cache_receives_all_orders_again() -> None:
    """A restarted cache server may have old copies again, so it must not count as purged by its earlier process's
    acknowledgements."""
    fake_server, dropped = FakeServer("c0"), []
    fake_server.drop = dropped.append
    address = await fake_server.listen(Family.V4)
    endpoints, budget = Endpoints(random.Random(1)), CountingBudget()
    endpoints.update([Listing("c0", address)])
    orders = Orders(1000.0, 4, budget.clock())
    orders.set_servers({"c0": 1.0})
    orders.add([Purge("a", 1, n, 1000.0 + n, f"group:{n}") for n in range(1, 4)])
    task = asyncio.ensure_future(OrderSender(orders, endpoints, budget, 200.0).run())
    await wait_until(lambda: orders.is_purged("c0"))
    assert dropped == ["1001.000 group:1", "1002.000 group:2", "1003.000 group:3"]
    await fake_server.set(address, Fault.REFUSED)
    orders.add([Purge("a", 1, 4, 1004.0, "all")])
    await asyncio.sleep(0.3)
    assert not orders.is_purged("c0") and len(dropped) == 3
    await fake_server.set(address, Fault.NONE)
    await wait_until(lambda: orders.is_purged("c0"))
    assert dropped[3:] == ["1004.000 all"]
    orders.set_servers({"c0": 2.0})  # the endpoint list shows that the server was restarted
    assert not orders.is_purged("c0")
    await wait_until(lambda: orders.is_purged("c0"))
    assert len(dropped) == 8 and budget.held == 0
    task.cancel()
    await fake_server.close()


@async_test
async def test_an_order_in_flight_is_sent_again_after_the_task_that_sends_orders_was_restarted() -> None:
    fake_server, dropped = FakeServer("c0"), []
    fake_server.drop = dropped.append
    address = await fake_server.listen(Family.V4)
    endpoints, budget = Endpoints(random.Random(1)), CountingBudget()
    endpoints.update([Listing("c0", address)])
    orders = Orders(1000.0, 4, budget.clock())
    orders.set_servers({"c0": 1.0})
    await fake_server.set(address, Fault.STALL)
    orders.add([Purge("a", 1, 1, 1000.0, "all")])
    sender = OrderSender(orders, endpoints, budget, 200.0)
    task = asyncio.ensure_future(sender.run())
    await wait_until(lambda: budget.held)
    task.cancel()  # as an error in it would do
    await wait_until(lambda: not budget.held)
    await fake_server.set(address, Fault.NONE)
    task = asyncio.ensure_future(sender.run())
    await wait_until(lambda: orders.is_purged("c0"))
    assert dropped[-1] == "1000.000 all" and budget.held == 0
    task.cancel()
    await fake_server.close()


def test_a_server_crash_at_any_write_loses_no_acknowledged_purge_and_reuses_no_number(
    tmp_path: Path,
) -> None:
    """The server crashes at each operation on its disk in turn, with each possible result for data that was not synced."""

    async def run_until_crash(disk: SimDisk, acknowledged: dict[str, Purge]) -> None:
        server = PurgeLog("a", disk, tokens(tmp_path), clock=lambda: 1e12, is_first_start=True)
        for turn in range(6):
            entries = [
                NewPurge(f"group:{turn}", f"k{turn}-{n}", asyncio.get_running_loop().create_future())
                for n in range(2)
            ]
            await server.committer.commit(entries)
            for entry in entries:
                response = entry.accepted.result()
                acknowledged[entry.key] = Purge(
                    response.issuer, response.epoch, response.seq, response.at_ms, response.scope, entry.key
                )
            if turn == 3:
                await asyncio.to_thread(server.store.log.snapshot, server.active.snapshot())

    faultless = SimDisk()
    asyncio.run(run_until_crash(faultless, {}))
    crash_points = 0
    for crash_at in range(1, faultless.operations + 1):
        for lost in Lost:
            for keeps_names in (True, False):
                disk, acknowledged = SimDisk(crash_at), dict[str, Purge]()
                with pytest.raises(Crash):
                    asyncio.run(run_until_crash(disk, acknowledged))
                restarted = PurgeLog(
                    "a", disk.after_crash(lost, keeps_names), tokens(tmp_path), clock=lambda: 1e12
                )
                recovered = {purge.key: purge for purge in restarted.active.purges_after({})}
                assert {key: recovered.get(key) for key in acknowledged} == acknowledged, (
                    crash_at,
                    lost,
                    keeps_names,
                )
                assert restarted.epoch > max((p.epoch for p in recovered.values()), default=0)
                assert not restarted.active.positions.gaps()
                crash_points += 1
    assert crash_points > 150


def write_certificate(folder: Path) -> tuple[Path, Path]:
    """Writes a self-signed certificate for 127.0.0.1 and its key, and returns their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "feed")])
    now = datetime.datetime.now(datetime.UTC)
    signed = (
        x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
        .serial_number(1).not_valid_before(now - datetime.timedelta(days=1)).not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]), False)
        .add_extension(x509.BasicConstraints(True, None), True).sign(key, hashes.SHA256())
    )  # fmt: skip
    cert_file, key_file = folder / "cert.pem", folder / "key.pem"
    cert_file.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return cert_file, key_file


def test_a_server_uses_tls_and_a_client_that_does_not_trust_it_sends_no_token(tmp_path: Path) -> None:
    async def scenario() -> None:
        cert_file, key_file = write_certificate(tmp_path)
        server_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        server_context.load_cert_chain(cert_file, key_file)
        server = ServedLog("a", SimDisk(), tokens(tmp_path), clock=unix_ms)
        await server.serve(server_context)
        client_context = ssl.create_default_context(cafile=str(cert_file))
        assert b'"name":"a"' in await fetch(
            "127.0.0.1", server.port, "GET", "/status", TOKEN, tls=client_context
        )
        with pytest.raises(ssl.SSLError):
            await fetch("127.0.0.1", server.port, "GET", "/status", TOKEN, tls=ssl.create_default_context())
        with pytest.raises(OSError):
            await fetch("127.0.0.1", server.port, "GET", "/status", TOKEN)
        await server.end()

    asyncio.run(scenario())


def test_a_director_crash_at_any_write_keeps_all_purges_up_to_its_position(
    tmp_path: Path,
) -> None:
    """If a director stored a position but not all purges up to it, it would never request those purges again."""
    options = Options(
        (("127.0.0.1", 1),), str(tmp_path / "tokens"), "", 1e9, 0.0, 3000.0, frozenset(), 1.0, 1.0
    )
    tokens(tmp_path)

    async def run_until_crash(disk: SimDisk, stored: list[int]) -> None:
        subscription = PurgeSubscription(options, Index(), lambda: 1e12, disk)
        for turn in range(6):
            subscription.receive([Purge("a", 1, 2 * turn + n, 1e12, f"group:{2 * turn + n}") for n in (1, 2)])
            subscription.adopt_position({("a", 1): 2 * turn + 2, ("b", 1): turn + 1})
            await subscription.store.save()
            stored.append(2 * turn + 2)
            if turn == 3:
                assert subscription.store.log is not None
                await asyncio.to_thread(subscription.store.log.snapshot, subscription.active.snapshot())

    faultless = SimDisk()
    asyncio.run(run_until_crash(faultless, []))
    crash_points = 0
    for crash_at in range(1, faultless.operations + 1):
        for lost in Lost:
            for keeps_names in (True, False):
                disk, stored = SimDisk(crash_at), list[int]()
                with pytest.raises(Crash):
                    asyncio.run(run_until_crash(disk, stored))
                restarted = PurgeSubscription(
                    options, Index(), lambda: 1e12, disk.after_crash(lost, keeps_names)
                )
                last_seq = restarted.active.positions.vector().get(("a", 1), 0)
                assert last_seq >= max(stored, default=0), (crash_at, lost, keeps_names)
                assert {p.seq for p in restarted.active.purges_after({})} == set(range(1, last_seq + 1))
                assert all(
                    restarted.active.index.newest_purge_ms("film", n, 5, 0, 1e12)
                    for n in range(1, last_seq + 1)
                )
                crash_points += 1
    assert crash_points > 150
