"""The hard cases of purges on sockets: joined fills, lost orders, servers that crash at every write, TLS."""

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
from harness import Client, config, running, trial, until
from test_net_rules import notice_flush, outcomes, told
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


@trial
async def test_a_fill_under_way_when_a_purge_comes_and_who_joins_it_give_no_client_the_old_copy() -> None:
    origin = FakeCacheStore()
    hub = FakeCacheStore({"r0": origin}, 0.01)
    cache = FakeCacheStore({"p0": hub, "r0": origin}, 0.3)
    cache.eager = (
        True  # the director asks for no joining once it knows of the purge: caches may join all the same
    )
    object_id = "7f3a9c21e0b4d655"
    shelves = {"c0": cache, "p0": hub, "r0": origin}
    standins = {name: FakeServer(name, shelf.answer) for name, shelf in shelves.items()}
    addresses = {name: await standin.listen(Family.V4) for name, standin in standins.items()}
    async with running(config(addresses)) as (node, client):
        hub.copies[object_id, 3] = now_ms() - 5000.0  # the old copy
        events = told(node.director)
        other = await Client.to(node.port)
        client.ask(1, d="3000")
        await until(lambda: cache.filling)  # the fill has taken the old copy, and is on its way
        purged = now_ms()
        node.director.apply_watch_event(WatchEvent(2, flush=notice_flush(asset=object_id, ms=purged)))
        await asyncio.sleep(0.05)
        other.ask(2, d="3000")  # joins that fill
        answers = [await client.next(), await other.next()]
        assert (
            answers[0][2] == 0 and float(answers[0][4][1:]) < purged
        )  # it was sent before the purge was told
        assert cache.joins >= 1 and Status.ERROR in {o[2] for o in outcomes(events)}
        assert answers[1][2] != 0 or float(answers[1][4][1:]) >= purged - 5.0
        other.ask(3, d="3000")
        final = await other.next()
        assert final[2] == 0 and float(final[4][1:]) >= purged - 5.0
        other.writer.close()
    for standin in standins.values():
        await standin.close()


class Plain:
    """A budget that counts, on the loop's own clock."""

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


@trial
async def test_lost_orders_are_retried_and_a_restarted_cache_gets_all_before_it_counts() -> None:
    standin, dropped = FakeServer("c0"), []
    standin.drop = dropped.append
    address = await standin.listen(Family.V4)
    endpoints, budget = Endpoints(random.Random(1)), Plain()
    endpoints.update([Listing("c0", address)])
    orders = Orders(1000.0, 4, budget.clock())
    orders.servers({"c0": 1.0})
    orders.add([Purge("a", 1, n, 1000.0 + n, f"group:{n}") for n in range(1, 4)])
    task = asyncio.ensure_future(OrderSender(orders, endpoints, budget, 200.0).run())
    await until(lambda: orders.purged("c0"))
    assert dropped == ["1001.000 group:1", "1002.000 group:2", "1003.000 group:3"]
    await standin.set(address, Fault.REFUSED)
    orders.add([Purge("a", 1, 4, 1004.0, "all")])
    await asyncio.sleep(0.3)
    assert not orders.purged("c0") and len(dropped) == 3
    await standin.set(address, Fault.NONE)
    await until(lambda: orders.purged("c0"))
    assert dropped[3:] == ["1004.000 all"]
    orders.servers({"c0": 2.0})  # the board tells of a new start
    assert not orders.purged("c0")
    await until(lambda: orders.purged("c0"))
    assert len(dropped) == 8 and budget.held == 0
    task.cancel()
    await standin.close()


def test_a_server_crash_at_any_write_keeps_acknowledged_purges_and_repeats_no_number(
    tmp_path: Path,
) -> None:
    """Every operation on its disk in turn, each with every fate of what was not synced."""

    async def run_until_crash(disk: SimDisk, answered: dict[str, Purge]) -> None:
        server = PurgeLog("a", disk, tokens(tmp_path), clock=lambda: 1e12, is_first_start=True)
        for turn in range(6):
            waiting = [
                NewPurge(f"group:{turn}", f"k{turn}-{n}", asyncio.get_running_loop().create_future())
                for n in range(2)
            ]
            await server.committer.commit(waiting)
            for one in waiting:
                told = one.accepted.result()
                answered[one.key] = Purge(told.issuer, told.epoch, told.seq, told.at_ms, told.scope, one.key)
            if turn == 3:
                await asyncio.to_thread(server.store.log.snapshot, server.active.snapshot())

    undisturbed = SimDisk()
    asyncio.run(run_until_crash(undisturbed, {}))
    points = 0
    for at in range(1, undisturbed.operations + 1):
        for lost in Lost:
            for keeps_names in (True, False):
                disk, answered = SimDisk(at), dict[str, Purge]()
                with pytest.raises(Crash):
                    asyncio.run(run_until_crash(disk, answered))
                back = PurgeLog(
                    "a", disk.after_crash(lost, keeps_names), tokens(tmp_path), clock=lambda: 1e12
                )
                recovered = {purge.key: purge for purge in back.active.purges_after({})}
                assert {key: recovered.get(key) for key in answered} == answered, (at, lost, keeps_names)
                assert back.epoch > max((p.epoch for p in recovered.values()), default=0)
                assert not back.active.positions.gaps()
                points += 1
    assert points > 150


def certificate(folder: Path) -> tuple[Path, Path]:
    """One for 127.0.0.1 that signs itself."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "feed")])
    now = datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
        .serial_number(1).not_valid_before(now - datetime.timedelta(days=1)).not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]), False)
        .add_extension(x509.BasicConstraints(True, None), True).sign(key, hashes.SHA256())
    )  # fmt: skip
    cert, private = folder / "cert.pem", folder / "key.pem"
    cert.write_bytes(made.public_bytes(serialization.Encoding.PEM))
    private.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return cert, private


def test_a_server_speaks_tls_and_a_client_that_does_not_trust_it_sends_no_token(tmp_path: Path) -> None:
    async def scene() -> None:
        cert, key = certificate(tmp_path)
        serving = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        serving.load_cert_chain(cert, key)
        server = ServedLog("a", SimDisk(), tokens(tmp_path), clock=unix_ms)
        await server.serve(serving)
        trusting = ssl.create_default_context(cafile=str(cert))
        assert b'"name":"a"' in await fetch("127.0.0.1", server.port, "GET", "/status", TOKEN, tls=trusting)
        with pytest.raises(ssl.SSLError):
            await fetch("127.0.0.1", server.port, "GET", "/status", TOKEN, tls=ssl.create_default_context())
        with pytest.raises(OSError):
            await fetch("127.0.0.1", server.port, "GET", "/status", TOKEN)
        await server.end()

    asyncio.run(scene())


def test_a_director_that_dies_at_any_write_knows_of_no_purge_less_than_its_position_says(
    tmp_path: Path,
) -> None:
    """A position past a purge that was not stored would never ask for it again."""
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

    undisturbed = SimDisk()
    asyncio.run(run_until_crash(undisturbed, []))
    points = 0
    for at in range(1, undisturbed.operations + 1):
        for lost in Lost:
            for keeps_names in (True, False):
                disk, stored = SimDisk(at), list[int]()
                with pytest.raises(Crash):
                    asyncio.run(run_until_crash(disk, stored))
                back = PurgeSubscription(options, Index(), lambda: 1e12, disk.after_crash(lost, keeps_names))
                upto = back.active.positions.vector().get(("a", 1), 0)
                assert upto >= max(stored, default=0), (at, lost, keeps_names)
                assert {p.seq for p in back.active.purges_after({})} == set(range(1, upto + 1))
                assert all(back.active.index.newest("film", n, 5, 0, 1e12) for n in range(1, upto + 1))
                points += 1
    assert points > 150
