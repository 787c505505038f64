"""`python -m gladelane`: runs one director, as GW_CONFIG and an operator's file say, until SIGTERM or SIGINT.

SIGHUP reads both files anew. The exit code is 0 after a shutdown, 1 if the director cannot be started; then
one line on stderr says why.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from . import logs
from .files import ConfigurationFiles, parse_admin_place
from .net.config import Config, ConfigError
from .process import freeze_startup_objects, open_descriptors, watch_gc
from .server import Server

if TYPE_CHECKING:
    from .settings.operator import Operator

log = logging.getLogger("gladelane")

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def serve(config: Config, operator: Operator | None, files: ConfigurationFiles, inherited: int) -> None:
    """Runs a director until it is told to stop, then drains it. `inherited`: descriptors open at the
    start."""
    server = Server(config, operator, inherited)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload, server, files)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    port = await server.start()
    freeze_startup_objects()
    watch_gc()
    log.info("ready name=%s listen=%s:%d rev=%d", config.name, config.listen[0], port, server.director.rev)
    await stop.wait()
    log.info("draining")
    await server.drain()
    await server.close()
    # the loop restores the default handlers: with them one more signal would end the process as if by a fault
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    log.info("stopped")


def reload(server: Server, files: ConfigurationFiles) -> None:
    """Applies both files anew, or neither if one of them is wrong."""
    metrics = server.director.metrics
    try:
        config, operator = files.read()
    except (ConfigError, OSError) as error:
        reason = "reload failed, the old configuration stays: %s"
        log.error(reason, error)  # noqa: TRY400  the error says what is wrong with the file
        metrics.reconfig_failed += 1
        return
    metrics.reconfig_ok += 1
    set_up_logs(operator)
    server.reload(config, operator)


def set_up_logs(operator: Operator | None) -> None:
    """Logs as an operator's file says; without one the log stays as it is."""
    if operator is not None:
        logs.set_up(operator.logs.format, operator.logs.level)


def main() -> int:
    """GW_CONFIG names the platform's file; GW_OPERATOR, which may be absent, an operator's own."""
    logs.set_up()
    inherited = open_descriptors()
    path, operator_path = os.environ.get("GW_CONFIG", ""), os.environ.get("GW_OPERATOR", "")
    # a signal that comes while the files are read waits for its handler: by default it would end the process
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    files = ConfigurationFiles(path, operator_path)
    try:
        config, operator = files.read()
        if config.ops is None and os.environ.get("GW_OPS"):
            config.ops = parse_admin_place(os.environ["GW_OPS"])
        set_up_logs(operator)
        uvloop.run(serve(config, operator, files, inherited))
    except (ConfigError, OSError) as error:
        print(f"gladelane: {error if path else 'GW_CONFIG names no file'}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
