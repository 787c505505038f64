"""`python -m gladelane`: one real director, wired up from GW_CONFIG."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys

from .net.board import Board
from .net.config import BadConfig, Config, read_config
from .net.director import Director
from .net.front import Front
from .net.upstream import Upstream
from .net.wheel import Clock, Wheel

log = logging.getLogger("gladelane")

CLIENT_SHARE, UPSTREAM_SHARE = 1 / 3, 1 / 2  # of the descriptors; the rest is the reserve
HELD_SHARE = 0.25  # of the memory, for bodies and answers not yet taken
LINGER_S = 0.8  # after SIGTERM clients go on arriving for up to 0.6 s
LAST_S = 2.0  # beyond the longest deadline, after which a client that takes nothing is left behind


async def serve(config: Config) -> None:
    clock = Clock()
    wheel = Wheel(clock.now)
    director = Director(config.settings, config.seed, clock.now, wheel)
    upstream = Upstream(config.conn, int(config.limits.sockets * UPSTREAM_SHARE), clock.now, wheel)
    director.sender, upstream.owner = upstream, director
    front = Front(
        director, clock.now, wheel, int(config.limits.sockets * CLIENT_SHARE),
        config.limits.memory_mb * 1_000_000 * HELD_SHARE,
    )
    for notice in config.known.notices:
        director.notice(notice)
    director.rev = max(director.rev, config.known.rev)
    board = Board(*config.board, lambda: director.rev, director.notice)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    tasks = [asyncio.create_task(wheel.run()), asyncio.create_task(board.run())]
    await front.listen(*config.listen)
    gc.collect()
    gc.freeze()  # what start-up made stays: full collections need not walk it
    log.info("ready name=%s listen=%s:%d rev=%d", config.name, *config.listen, director.rev)
    await stop.wait()
    log.info("draining")
    front.drain()
    await asyncio.sleep(LINGER_S)
    front.stop_listening()
    longest = max(spec.deadline_ms for spec in config.settings.classes.values()) / 1000.0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(longest + LAST_S):
            while director.owed() or not front.quiet():
                await asyncio.sleep(0.02)
    log.info("stopped")
    for task in tasks:
        task.cancel()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    path = os.environ.get("GW_CONFIG", "")
    try:
        with open(path, "rb") as file:
            config = read_config(file.read())
        asyncio.run(serve(config))
    except (BadConfig, OSError) as error:
        print(f"gladelane: {path or 'GW_CONFIG'}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
