"""Recovery of fleets of real processes from faults.

Directors and control servers are killed, suspended or cut off, and lose their folders or find older ones.
"""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import pytest

from benchmarks.comeback import first_restart
from benchmarks.comeback.first_restart import AFTER_START_S, time_imports
from gladelane.lab.client import Answer
from gladelane.lab.fake_server import Fault
from gladelane.lab.fleet.client_pool import ClientPool
from gladelane.lab.fleet.commands import CONTROL_SERVER
from gladelane.lab.fleet.faults import parse_schedule
from gladelane.lab.fleet.fleet import TOKEN, Fleet
from gladelane.lab.fleet.process import FleetProcess
from gladelane.lab.fleet.schedule_run import run_schedule
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.fleet.world import World

SAVED = "0 store caches:* save; 0 store hub save; "
FULL_SERVICE_S, REFUSED_SHARE = 6.0, 0.1
# limit on an idle machine for as many concurrent imports of the program as directors start at once
IDLE_IMPORT_S = 0.75
IDLE_LATE_S = 0.1  # largest delay of clients on an idle machine
# the latest full service that a run of 8 s can show: 2 s of it must be measured before the end
OBSERVABLE_S = 4.7
MAX_RUNS = 3
BACKFILL_TIMEOUT_S = 30.0  # much longer than needed
RESTORED = "; 2.1 store caches:* back; 2.1 store hub back"  # with the copies from before the purges


def run_and_check(schedule: str, seconds: float, purges: int = 0, **shape: Any) -> dict[str, Any]:
    metrics = asyncio.run(run_schedule(schedule, Shape(**shape), 3, seconds, purges=purges))
    violations = {name: metrics[name] for name in ("stale_strict", "doubles", "lost", "rules", "pushed_over")}
    assert violations == {
        "stale_strict": 0,
        "doubles": 0,
        "lost": 0,
        "rules": [],
        "pushed_over": [],
    }, metrics
    assert metrics["served"] > 0.5 * metrics["asked"], metrics
    return metrics


class Restart(NamedTuple):
    """A run, and the time that as many concurrent imports of the program took right before and right after it."""

    metrics: dict[str, Any]
    before_s: float
    after_s: float

    @property
    def is_machine_idle(self) -> bool:
        is_fast = max(self.before_s, self.after_s) <= IDLE_IMPORT_S
        return is_fast and bool(self.metrics["clients_late_s"] <= IDLE_LATE_S)

    @property
    def is_in_time(self) -> bool:
        limit_s = FULL_SERVICE_S + extra_s(self.before_s)
        rejected = self.metrics["refused"] + self.metrics["failed"]
        return bool(
            self.metrics["full_service_s"] < limit_s and rejected < REFUSED_SHARE * self.metrics["asked"]
        )


def extra_s(import_s: float) -> float:
    """The time that `benchmarks.comeback` allows for starts on a busy machine beyond a run of 8 s."""
    limit_s = first_restart.Restart(import_s, 0.0).start_limit_s + AFTER_START_S
    return max(limit_s - OBSERVABLE_S, 0.0)


def run_restart(schedule: str, shape: dict[str, Any]) -> Restart:
    before_s = time_imports(shape["directors"])
    metrics = run_and_check(schedule, 8.0 + extra_s(before_s), **shape)
    return Restart(metrics, before_s, time_imports(shape["directors"]))


@pytest.mark.parametrize(("import_s", "late_s", "full_s", "refused", "is_in_time", "is_machine_idle"), [
    (0.75, 0.1, 5.9, 9, True, True), (0.75, 0.1, 6.0, 0, False, True), (0.75, 0.1, 5.9, 10, False, True),
    (0.75, 0.1, math.inf, 0, False, True), (0.5, 0.0, 6.1, 0, False, True),
    (0.75, 0.2, 6.0, 0, False, False), (1.75, 0.1, 6.2, 0, True, False), (1.75, 0.1, 6.4, 0, False, False),
    (1.75, 0.1, math.inf, 0, False, False), (1.75, 0.1, 5.0, 10, False, False),
])  # fmt: skip
def test_restart_limits_are_extended_only_on_a_busy_machine(
    import_s: float, late_s: float, full_s: float, refused: int, is_in_time: bool, is_machine_idle: bool
) -> None:
    metrics = {
        "clients_late_s": late_s,
        "full_service_s": full_s,
        "refused": refused,
        "failed": 0,
        "asked": 100,
    }
    restart = Restart(metrics, import_s, 0.5)
    assert (restart.is_in_time, restart.is_machine_idle) == (is_in_time, is_machine_idle)


@pytest.mark.parametrize(("schedule", "shape", "warm"), [
    ("1 kill directors:* empty", {"directors": 12}, 0),
    ("1 kill directors:90% kept", {"directors": 12}, 11),
    ("0.5 kill directors:0-5; 0.7 kill directors:3-8; 0.9 kill directors:6-11", {"directors": 12}, 12),
    # the director with the torn log starts cold
    ("0.5 kill directors:0; 1 kill directors:0; 1.5 kill directors:0; 2 kill directors:0; 2.5 kill directors:1 torn", {"directors": 3}, 2),
])  # fmt: skip
def test_killed_directors_return_to_full_service(schedule: str, shape: dict[str, Any], warm: int) -> None:
    """A busy machine gets more time and further runs, since it delays the start of processes."""
    for _ in range(MAX_RUNS):
        restart = run_restart(schedule, shape)
        metrics = restart.metrics
        assert metrics["warm"] == warm and metrics["failed_starts"] == [] and not any(metrics["horizon_open"])
        assert metrics["origin_peak_over_usual"] < 3.0
        if restart.is_in_time or restart.is_machine_idle:
            break
    assert restart.is_in_time, restart


def test_stale_replies_are_detected_if_losses_of_purges_are_ignored() -> None:
    schedule = SAVED + "0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:* empty" + RESTORED
    metrics = asyncio.run(run_schedule(schedule, Shape(4, lost="serve"), 3, 7.0))
    assert metrics["stale_strict"] > 0 and all(metrics["horizon_open"]), metrics


@pytest.mark.parametrize(("schedule", "shape", "horizon_open", "min_active_purges", "is_backfilled"), [
    # both control servers and all directors empty: the loss is reported, and strict classes use no earlier copy
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:* empty", {}, True, None, False),
    # one of four directors still runs: both control servers have its purges again, but there may be others
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:1-3 empty", {}, True, 40, True),
    # one of two control servers: the other has all acknowledged purges, and no loss is open
    ("0.2 purges 40 for 1; 2 kill feeds:0 empty; 2 kill directors:1-3 empty", {}, False, 40, False),
    # one empty, one older, which only its mark shows
    ("0 save feeds:1; 0.2 purges 40 for 1; 2 kill feeds:0 empty; 2 kill feeds:1 older; 2 kill directors:* empty", {"marks": True}, True, None, False),
    # during a flood of purges, with a slow origin and a restarted hub
    ("0.2 purges 120 for 3; 2 kill feeds:* empty; 2 kill directors:* empty; 2.2 store origin slow for 1; 2.2 store hub renew", {}, True, None, False),
    # half of the directors are cut off from the restarted control servers
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 cut directors:0-1>feeds:* for 3", {}, True, 40, True),
])  # fmt: skip
def test_lost_folders_cause_no_stale_reply_of_strict_classes(
    schedule: str,
    shape: dict[str, Any],
    horizon_open: bool,
    min_active_purges: int | None,
    is_backfilled: bool,
) -> None:
    """Guards against stale replies after control servers or directors lose their folders.

    `is_backfilled`: both control servers are emptied while a director runs, which sends them all acknowledged
    purges. Their number varies: on a busy machine the 40 purges take longer than the 1.8 s before the control
    servers are killed, and later ones are issued by the new starts.
    """
    metrics = run_and_check(SAVED + schedule + RESTORED, 8.5, **{"directors": 4, **shape})
    assert metrics["horizon_open"] == [horizon_open, horizon_open], metrics
    # a sender that is refused asks another control server, which issues another purge
    assert min_active_purges is None or min_active_purges <= min(metrics["standing"]) == max(
        metrics["standing"]
    ), metrics
    assert min_active_purges is None or metrics["purges_missing"] == 0, metrics
    if is_backfilled:
        assert metrics["reseeded"] >= metrics["purges_of_earlier_starts"] > 0, metrics
    assert metrics["purges"] >= 40
    assert metrics["origin_peak"] < 900


@pytest.mark.parametrize(("clocks", "feeds", "schedule"), [
    (("0:-3600000",), 2, "0.2 purges 30 for 2"),  # wrong from the start; the clock of its peer is right
    (("0:-3600000",), 1, "0.2 purges 30 for 2"),  # no peer has a right clock
    (("0:-4000", "0:-4000"), 2, "0.2 purges 30 for 2"),
    (("0:3600000", "0:-3600000"), 2, "0.2 purges 30 for 2"),
    (("4:-3600000,5:3600000,6:-4000,6.5:4000", "4.5:3600000,6:-50"), 2, "0.2 purges 30 for 2"),
    # all directors get the purges from a control server whose clock was behind while they were down
    (("0:-3600000",), 1, "0.2 purges 30 for 1; 1.5 kill directors:* empty; 1.6 store caches:* back; 1.6 store hub back"),
    (("0:-3600000",), 1, "0.2 purges 30 for 1; 1.5 kill feeds:0 empty; 1.6 store caches:* back; 1.6 store hub back"),
])  # fmt: skip
def test_wrong_or_stepped_clocks_of_control_servers_cause_no_stale_reply(
    clocks: tuple[str, ...], feeds: int, schedule: str
) -> None:
    shape = {"directors": 3, "control_servers": feeds, "copies": feeds, "control_server_clocks": clocks}
    metrics = run_and_check(SAVED + schedule, 7.0, 10, **shape)
    assert metrics["stale_other"] == 0 and metrics["purges"] >= 40, metrics
    assert metrics["failed"] < 0.02 * metrics["asked"], metrics


def test_older_folders_without_marks_are_detected_by_the_running_director() -> None:
    schedule = (
        SAVED
        + "0 save feeds:*; 0.2 purges 40 for 1; 2 kill feeds:* older; 2 kill directors:1-3 empty"
        + RESTORED
    )
    metrics = asyncio.run(run_schedule(schedule, Shape(4), 3, 8.0))
    assert metrics["horizon_open"] == [True, True] and min(metrics["standing"]) >= 40, metrics
    assert metrics["doubles"] == metrics["lost"] == metrics["rules_broken"] == 0


def test_swapped_or_unlockable_folder_ends_the_start_with_a_one_line_error() -> None:
    metrics = run_and_check("1 kill feeds:0 swapped; 1 kill directors:0 readonly", 5.0, 10, directors=3)
    swapped, locked = sorted(metrics["failed_starts"], key=lambda text: "feed-1" not in text)
    assert swapped == "gladelane: the folder is of feed 'feed-1'; expected one of 'feed-0', or an empty one"
    assert locked.startswith("gladelane: ") and locked.endswith("director-0/purges/LOCK'")
    assert metrics["standing"][0] == -1 and metrics["standing"][1] >= 10 and 4 in metrics["phases"]


def test_full_disks_followed_by_kills_lose_no_acknowledged_purge() -> None:
    schedule = "0.2 full feeds:* for 2; 0.2 full directors:* for 2; 0.3 purges 20 for 1; 3.5 kill directors:*; 3.5 kill feeds:*"
    metrics = run_and_check(schedule, 7.0, 10, directors=4)
    assert (
        min(metrics["standing"]) >= 30 and metrics["disk_faults"] == 12 and not any(metrics["horizon_open"])
    ), metrics


def test_directors_with_older_folders_and_delayed_discovery_use_no_draining_server() -> None:
    schedule = "0 save directors:*; 0.5 drain caches:0 out; 1 board late for 2; 1.6 kill directors:* older; 2 drain caches:1 out"
    metrics = run_and_check(schedule, 6.0, 10, directors=4)
    assert metrics["after_drain"] == 0 and metrics["warm"] == 4, metrics


def test_directors_suspended_during_purges_and_a_drain_send_no_stale_reply() -> None:
    metrics = run_and_check(
        "1 stop directors:0-1 for 1.5; 1.2 drain caches:0 out; 1.2 purges 20 for 1", 6.0, 10, directors=4
    )
    assert min(metrics["standing"]) >= 30 and metrics["served"] > 0.7 * metrics["asked"], metrics


@asynccontextmanager
async def fleet_of(folder: Path, **shape: Any) -> AsyncIterator[Fleet]:
    world = World()
    fleet = Fleet(folder, world, Shape(**shape), Random(1))
    try:
        await world.start()
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()
        await world.close()


async def inject_faults(fleet: Fleet, schedule: str) -> None:
    for step in parse_schedule(
        schedule, {"directors": len(fleet.directors), "feeds": len(fleet.control_servers)}, Random(1)
    ):
        await fleet.inject(step)


async def request_until_attempted(
    director: FleetProcess, fields: dict[str, str], attempts: Callable[[], int]
) -> asyncio.Future[Answer | None]:
    """Sends a request until an attempt of it reaches the origin; returns that request.

    A request that is refused before any attempt is sent again: a director whose process stalled for over 0.1 s
    sheds load, and the key is not recorded then.
    """
    assert director.client is not None
    request: asyncio.Future[Answer | None] | None = None
    async with asyncio.timeout(30.0):
        while not attempts():
            if request is None or request.done():
                request = asyncio.ensure_future(director.client.ask(fields, 3.0))
            await asyncio.sleep(0.005)
    assert request is not None
    return request


@pytest.mark.parametrize("is_folder_kept", [True, False])
def test_restarted_director_does_not_retry_an_attempted_key_after_its_window(
    tmp_path: Path, is_folder_kept: bool
) -> None:
    """Without its folder, a restarted director does not know the keys of its predecessor, and executes the key again."""

    async def run_scene() -> None:
        async with fleet_of(tmp_path, directors=1, control_servers=0, warm=is_folder_kept) as fleet:
            director, origin = fleet.directors[0], fleet.world.fake_servers["bank"]
            await origin.set(fleet.world.addresses["bank"], Fault.STALL)
            fields = {"c": "answer-submit", "i": "00000000000000a1", "d": "1500", "o": "00000000000000ff", "chunk": "0", "tag": "1",
                      "m": "4", "k": "5c" * 16}  # fmt: skip
            attempts = lambda: sum(seen.fields.get("replay") == "5c" * 16 for seen in origin.seen)  # noqa: E731
            first = await request_until_attempted(director, fields, attempts)
            started_s = time.monotonic()
            await inject_faults(fleet, "0 kill directors:0 kept")
            assert await first is None
            attempts_before = attempts()
            await origin.set(fleet.world.addresses["bank"], Fault.NONE)
            await asyncio.sleep(max(started_s + 2.3 - time.monotonic(), 0.0))
            pool = ClientPool(director.port)  # the client of the fleet was closed with the process
            await pool.open_connection()
            answer = await pool.ask({**fields, "i": "00000000000000a2"}, 3.0)
            async with asyncio.timeout(30.0):
                # a request may be refused because of load: see request_until_attempted
                while not is_folder_kept and attempts() == attempts_before:
                    answer = await pool.ask({**fields, "i": "00000000000000a2"}, 3.0)
            await pool.close()
            assert answer is not None
            attempts_after = attempts() - attempts_before
            assert (answer.code == 0, attempts_after) == ((False, 0) if is_folder_kept else (True, 1))

    asyncio.run(run_scene())


async def run_command(*arguments: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CONTROL_SERVER,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    text = (await process.communicate())[0].decode()
    return process.returncode or 0, text


async def is_backfilled_everywhere(fleet: Fleet, admin_addresses: list[str]) -> bool:
    """Whether all control servers have the earlier purges, and all directors know of the loss."""
    active_purges = [await fleet.active_purges(server) for server in fleet.control_servers]
    _, text = await run_command("fleet", "status", "--json", *admin_addresses)
    statuses = json.loads(text)
    return all(active_purges) and all(
        statuses.get(admin_address, {}).get("purges_known_since_ms", 0) > 0
        for admin_address in admin_addresses
    )


def test_commands_of_the_runbook_for_lost_state(tmp_path: Path) -> None:
    async def run_scene() -> None:
        async with fleet_of(tmp_path, directors=2, control_servers=2) as fleet:
            admin_addresses = [f"127.0.0.1:{one.admin_port}" for one in fleet.directors]
            server_options = [
                "--feed",
                f"127.0.0.1:{fleet.control_servers[0].port}",
                "--tokens",
                str(tmp_path / "tokens"),
            ]
            code, text = await run_command("purge", "send", "group:3", *server_options)
            assert code == 0 and "group:3" in text
            code, text = await run_command("purge", "vouch", "--all", *server_options)
            assert code == 1 and "no loss is open" in text
            await inject_faults(fleet, "0 kill feeds:* empty; 0 kill directors:1 empty")
            async with asyncio.timeout(BACKFILL_TIMEOUT_S):
                while not await is_backfilled_everywhere(fleet, admin_addresses):
                    await asyncio.sleep(0.1)
            code, text = await run_command("purge", "status", *server_options)
            assert code == 0 and "standing: 1" in text and "horizon_ms: 0.0" not in text
            code, text = await run_command("fleet", "status", "--json", *admin_addresses)
            statuses = json.loads(text)
            assert all(
                statuses[admin_address]["purges_known_since_ms"] > 0 for admin_address in admin_addresses
            )
            assert (await run_command("purge", "vouch", *server_options))[0] == 1 and "expected Unix ms" in (
                await run_command("purge", "vouch", "--since", "noon", *server_options)
            )[1]
            code, text = await run_command("purge", "vouch", "--all", "--why", "ticket 4711", *server_options)
            assert code == 0 and text.count("is closed from 0 on") == 2
            for _ in range(60):
                code, text = await run_command("fleet", "status", *admin_addresses)
                if code == 0:
                    break
            assert code == 0 and text.count("full") >= 2 and text.count(" all ") == 2, text
            status = await fleet.status(fleet.control_servers[1])
            assert (
                all("lab: ticket 4711" in loss[4] for loss in status["losses"]) and status["horizon_ms"] == 0
            )
            assert TOKEN not in text
            code, text = await run_command("fleet", "status", admin_addresses[0], "127.0.0.1:1")
            assert code == 1 and "no answer" in text

    asyncio.run(run_scene())
