"""`python -m gladelane`: one real director, wired up from GW_CONFIG."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import random
import signal
import socket
import sys
from typing import TYPE_CHECKING

import uvloop

if TYPE_CHECKING:
    from .fleet.service import Service
    from .operations.door import Door
    from .ownership.owner import Owner
    from .purges.holder import Holder
    from .recovery.service import Recovery
    from .settings.operator import Operator
    from .upgrade.succession import Succession

from . import logs
from .endpoints.plan import Endpoints
from .files import load_after, load_operator, ops_place
from .interface import Settings
from .net.board import Board
from .net.config import BadConfig, Config
from .net.descriptors import share_descriptors
from .net.director import Director
from .net.front import Front
from .net.upstream import Upstream
from .net.wheel import Clock, Wheel
from .operations.calls import Call
from .operations.desk import Desk
from .operations.retune import BOTH_MS, applied, between
from .process import STANDARD, most_descriptors, open_descriptors, watch_gc
from .routes.keys import KEY_BYTES

log = logging.getLogger("gladelane")
endpoints_log = logging.getLogger("gladelane.endpoints")

HELD_SHARE = 0.25  # of the memory, for bodies and answers not yet taken
KEYS_SHARE = 0.04  # of the memory, for keys that may have run: 4,500 of them where it is 80 MB
GC_THRESHOLDS = (50_000, 10, 10)  # nearly all is freed by its last reference; cycles are few
ENDPOINTS_SEED = 0x656E6473
LINGER_S = 0.8  # after SIGTERM clients go on arriving for up to 0.6 s
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# From SIGTERM, beyond the longest deadline and at most: then all is answered. With the time to flush and to
# close it stays under the 0.7 s beyond a deadline, of 3 s at most, after which the protocol's SIGKILL comes.
LAST_S, LAST_MOST_S = 0.4, 3.4
STEER_S = 0.02  # for what the system had under way to this process's queue
FLUSH_S = 0.1  # and after so long more, a client that takes nothing is left behind


class Node:
    """The parts of one director and who holds whom; `config` says all that differs between two of them."""

    def __init__(self, config: Config, operator: Operator | None = None, inherited: int = STANDARD) -> None:
        self.config = config
        self.clock = Clock()
        self.wheel = Wheel(self.clock.now)
        # randomness of its own: the module's decisions must not hang on what was dialled
        self.endpoints = Endpoints(random.Random(config.seed ^ ENDPOINTS_SEED), told=endpoints_log.warning)
        limits = config.limits
        self.director = Director(
            config.settings,
            config.seed,
            self.clock.now,
            self.wheel,
            self.endpoints,
            int(limits.memory_mb * 1_000_000 * KEYS_SHARE / KEY_BYTES),
        )
        feeds = len(operator.purges.feeds) if operator is not None and operator.purges is not None else 0
        self.shares = share_descriptors(most_descriptors(limits.sockets), inherited, feeds)
        self.upstream = Upstream(
            config.conn, self.shares.upstream, self.clock.now, self.wheel, self.endpoints
        )
        self.director.sender, self.upstream.owner = self.upstream, self.director
        self.front = Front(
            self.director,
            self.clock.now,
            self.wheel,
            self.shares.clients,
            limits.memory_mb * 1_000_000 * HELD_SHARE,
        )
        self.audit: Service | None = None
        self.configure(operator)
        self.purges: Holder | None = None
        if operator is not None and operator.purges is not None:
            from .wiring import open_purges

            self.purges = self.director.guard = open_purges(operator.purges, self.director, self.clock)
        self.recovery: Recovery | None = None
        if operator is not None and operator.recovery is not None:
            from .recovery.service import Recovery

            host, port = config.listen
            self.recovery = Recovery(
                operator.recovery,
                f"{config.name} {host}:{port}",
                self.director,
                self.purges,
                self.clock.now,
                lambda: self.desk.takes_clients,
            )
            self.director.more = self.recovery.lines
        if operator is not None and operator.fleet is not None and self.purges is not None:
            from .fleet.service import Service

            self.audit = self.director.audit = Service(
                operator.fleet,
                config.name,
                self.director,
                self.purges,
                self.clock.now,
                self.front.drain,
                self.front.empty,
                self._follow,
            )
            self.purges.turned = self.audit.turned
            self.director.more = self._lines
        self.owner: Owner | None = None
        if operator is not None and operator.owners is not None and self.purges is not None:
            from .wiring import open_owner

            self.owner = open_owner(operator.owners, self.purges, config)
        self.port = 0
        self.folder = os.environ.get("TMPDIR", "")
        self.desk = Desk(self.director, self.front.drain, self.clock.now, self.front.empty, self._held)
        self.door: Door | None = None
        self.succession: Succession | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._board: asyncio.Task[None] | None = None

    def _lines(self) -> list[tuple[str, int]]:
        """Figures of parts that operators switched on."""
        own = self.recovery.lines() if self.recovery is not None else []
        return own + (self.audit.lines() if self.audit is not None else [])

    async def start(self) -> int:
        """Clients are let in only once all that is known has been applied: readiness promises that."""
        given = self._meet()
        for notice in self.config.known.notices:
            self.director.notice(notice)
        self.director.rev = max(self.director.rev, self.config.known.rev)
        if self.succession is not None:
            self.succession.take_over()
        if self.recovery is not None:
            self.recovery.take_over()
            self.recovery.start()
        if self.config.ops is not None:
            self._open_door(*self.config.ops)
        self._tasks = [asyncio.create_task(self.wheel.run())]
        self._follow()
        if self.purges is not None:
            from .purges.deliver import Deliver

            timeout = self.config.conn.dial_timeout_ms
            self.purges.start(Deliver(self.purges.orders, self.endpoints, self.upstream, timeout))
            if self.owner is not None:
                self.owner.start()
            await self.purges.ready()
        if self.audit is not None:
            await self.audit.start()
        host, port = self.config.listen
        self.port = await self.front.listen(host, port, given, shared=self.config.ops is not None)
        if self.succession is not None:
            self.succession.listen()
        self.desk.takes_clients = True
        return self.port

    def _open_door(self, host: str, port: int) -> None:
        from .operations.door import Door  # on older days there is neither a place nor a thread

        self.door = Door(self.desk, asyncio.get_running_loop(), self.shares.callers)
        self.door.open(host, port)

    def _meet(self) -> socket.socket | None:
        """The listening socket of the process that this one comes beside, if there is one. Where operators
        have no door nobody brings a new version beside the old one."""
        if self.config.ops is None or not self.folder:
            return None
        from .upgrade.succession import Succession

        host, port = self.config.listen
        self.succession = Succession(
            self.folder,
            f"{self.config.name} {host}:{port}",
            self.clock.now,
            self.director,
            self.upstream,
            self.front,
            self.desk,
        )
        return self.succession.meet()

    def _held(self, call: Call) -> None:
        """An order given to this process."""
        if self.succession is not None:
            self.succession.held(call)

    def _follow(self) -> None:
        """From the revision reached, and at once: no stream nor backoff of a board left before counts."""
        if self._board is not None:
            self._board.cancel()
        rng = random.Random(f"{self.config.name} {self.config.seed}")
        board = Board(*self.config.board, lambda: self.director.rev, self.director.notice, rng)
        if self.audit is not None:
            board.heard, board.steady = self.audit.tenure.board_heard, self.audit.steady
        self._board = asyncio.create_task(board.run())

    def configure(self, operator: Operator | None) -> None:
        """An operator's file changes under load as a whole: addresses that went lose their dials."""
        if operator is not None:
            self.director.configure(operator.options, operator.rules)
            if self.audit is not None and operator.fleet is not None:
                self.audit.reconfigured(operator.fleet.digest)

    def reload(self, config: Config, operator: Operator | None = None) -> None:
        """What may change under load is the board, classes and attempts, and the operator's file; all else is
        bound to sockets and figures in use."""
        self.configure(operator)
        settings, later = applied(self.config.settings, config.settings)
        if settings != self.config.settings:
            self._retune(settings)
        moved = config.board != self.config.board
        self.config.board = config.board
        for notice in config.known.notices:
            self.director.notice(notice)  # what is known already is dropped there
        if moved:
            self._follow()
        config.known, config.seed = self.config.known, self.config.seed  # these are for a start
        config.ops, config.settings = self.config.ops, self.config.settings
        later += [n for n in config.__struct_fields__ if getattr(config, n) != getattr(self.config, n)]
        log.info("reloaded board=%s:%d moved=%d rev=%d", *config.board, moved, self.director.rev)
        if later:
            log.warning("reloaded: a change of %s takes a restart", ", ".join(later))

    def _retune(self, settings: Settings) -> None:
        """Clients go by the new file a little later: until then both hold."""
        self.config.settings = settings
        self.director.retune(between(self.director.settings, settings))

        def settled() -> None:
            if self.config.settings is settings:  # no later file has come
                self.director.retune(settings)

        self.wheel.at(self.clock.now() + BOTH_MS, settled)

    async def drain(self) -> None:
        """Clients are told to go, yet go on arriving for a while; then what is owed is waited for, but no
        longer than a restart may take: what is still open then is failed, which its client can act on."""
        began = asyncio.get_running_loop().time()
        self.desk.takes_clients = False
        self.front.drain.leave()
        self.front.empty()
        beside = self.succession is not None and self.succession.beside
        if beside:
            # the other process takes what waits in the queue, and all that comes
            self.front.stop_listening(queued=False)
        else:
            await asyncio.sleep(LINGER_S)
            with contextlib.suppress(OSError):  # a module is imported there, which takes a descriptor
                self.front.steer_away()
            await asyncio.sleep(STEER_S)
            self.front.stop_listening()
        longest = max(spec.deadline_ms for spec in self.director.settings.classes.values()) / 1000.0
        last = began + min(longest + LAST_S, LAST_MOST_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(last):
                # beside another process there is no hurry: clients go, or are closed when they hold nothing
                while self.director.owed() or not self.front.quiet() or (beside and self.front.connections):
                    await asyncio.sleep(0.02)
        self.front.over = True
        self.director.end_all()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_S):
                while not self.front.quiet():
                    await asyncio.sleep(0.02)

    async def close(self) -> None:
        if self.door is not None:
            self.door.close()
        if self.succession is not None:
            self.succession.close()
        await self.front.close()
        self.upstream.close()
        if self.audit is not None:
            await self.audit.close()
        if self.recovery is not None:
            await self.recovery.close()
        if self.owner is not None:
            await self.owner.close()
        if self.purges is not None:
            await self.purges.close()
        for task in [*self._tasks, self._board]:
            if task is not None:
                task.cancel()


async def serve(
    config: Config,
    used: bytes,
    path: str,
    operator: Operator | None,
    operator_path: str,
    inherited: int,
) -> None:
    node = Node(config, operator, inherited)
    stop = asyncio.Event()

    def reload() -> None:
        nonlocal used
        try:
            new, text = load_after(path, used)
            operator = load_operator(operator_path)  # both, before either is applied
        except (BadConfig, OSError) as error:
            log.error("reload failed, the old configuration stays: %s", error)
            node.director.figures.reconfig_failed += 1
            return
        used = text
        node.director.figures.reconfig_ok += 1
        if operator is not None:
            logs.set_up(operator.logs.format, operator.logs.level)
        node.reload(new, operator)

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    port = await node.start()
    gc.collect()
    gc.freeze()  # what start-up made stays: full collections need not walk it
    gc.set_threshold(*GC_THRESHOLDS)
    watch_gc()
    log.info("ready name=%s listen=%s:%d rev=%d", config.name, config.listen[0], port, node.director.rev)
    await stop.wait()
    log.info("draining")
    await node.drain()
    await node.close()
    log.info("stopped")


def main() -> int:
    """GW_CONFIG names the platform's file, GW_OPERATOR an operator's own; the latter may be absent."""
    logs.set_up()
    inherited = open_descriptors()
    path, operator_path = os.environ.get("GW_CONFIG", ""), os.environ.get("GW_OPERATOR", "")
    # one that comes while the file is read waits for its handler: by default it would end the process
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        (config, used), operator = load_after(path, None), load_operator(operator_path)
        if config.ops is None and os.environ.get("GW_OPS"):
            config.ops = ops_place(os.environ["GW_OPS"])
        if operator is not None:
            logs.set_up(operator.logs.format, operator.logs.level)
        uvloop.run(serve(config, used, path, operator, operator_path, inherited))
    except (BadConfig, OSError) as error:
        print(f"gladelane: {error if path else 'GW_CONFIG names no file'}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
