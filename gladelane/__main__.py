"""`python -m gladelane`: runs one director until SIGTERM or SIGINT, configured by GW_CONFIG and GW_OPERATOR.

SIGHUP reloads both files. The exit code is 0 after a shutdown and 1 if the director cannot be started; in
that case one line on stderr gives the reason.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

import uvloop

from . import logs
from .files import ConfigurationFiles, parse_admin_address
from .net.config import Config, ConfigError
from .process import (
    count_open_descriptors,
    freeze_startup_objects,
    load_heap_trim,
    log_long_gc_pauses,
    resident_bytes,
)
from .server import Server

if TYPE_CHECKING:
    from .settings.operator import Operator

log = logging.getLogger("gladelane")

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def serve(
    config: Config, operator: Operator | None, files: ConfigurationFiles, inherited_descriptors: int
) -> None:
    """Runs a director until a signal stops it, then shuts it down gracefully. `inherited_descriptors` is the
    number of descriptors that were open at the start."""
    server = Server(
        config, operator, inherited_descriptors, resident_bytes, partial(reread_files, files=files)
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_files, server, files)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    port = await server.start()
    server.memory_monitor.trim_heap = load_heap_trim()
    freeze_startup_objects()
    log_long_gc_pauses()
    server.divide_memory()
    log.info("ready name=%s listen=%s:%d rev=%d", config.name, config.listen[0], port, server.director.rev)
    await stop.wait()
    log.info("draining")
    await server.drain()
    await server.close()
    # When the event loop is closed it restores the default handlers, and another signal would then end the
    # process with a failure status.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    log.info("stopped")


def reload_files(server: Server, files: ConfigurationFiles) -> None:
    """Handles SIGHUP: reads the files again, counts the result, and has the other processes of the director
    read theirs."""
    metrics = server.director.metrics
    if reread_files(server, files):
        metrics.reconfig_ok += 1
        server.share_reload()
    else:
        metrics.reconfig_failed += 1


def reread_files(server: Server, files: ConfigurationFiles) -> bool:
    """Reads both files again and applies them, or neither of them if one is invalid. Returns whether they are
    valid."""
    try:
        config, operator = files.read()
    except (ConfigError, OSError) as error:
        message = "reload failed, the old configuration stays: %s"
        log.error(message, error)  # noqa: TRY400  the error says what is wrong in the file
        return False
    except Exception:
        log.exception("reload failed, the old configuration stays")
        return False
    try:
        configure_logs(operator)
        server.reload(config, operator)
    except Exception:
        log.exception("reload failed, a part of the new configuration may apply")
        return False
    return True


def configure_logs(operator: Operator | None) -> None:
    """Sets the log's format and level as the operator's file says; without a file they stay as they are."""
    if operator is not None:
        logs.set_up_logging(operator.logs.format, operator.logs.level)


def main() -> int:
    """Runs the program and returns its exit code. GW_CONFIG is the path of the platform's file, GW_OPERATOR
    the optional path of the operator's file, and GW_OPS the address of the admin endpoint."""
    logs.set_up_logging()
    inherited_descriptors = count_open_descriptors()
    path, operator_path = os.environ.get("GW_CONFIG", ""), os.environ.get("GW_OPERATOR", "")
    # The signals are blocked until their handlers are installed, because their default action would end the
    # process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    files = ConfigurationFiles(path, operator_path)
    try:
        config, operator = files.read()
        if config.ops is None and os.environ.get("GW_OPS"):
            config.ops = parse_admin_address(os.environ["GW_OPS"])
        configure_logs(operator)
        uvloop.run(serve(config, operator, files, inherited_descriptors))
    except (ConfigError, OSError) as error:
        print(f"gladelane: {error if path else 'GW_CONFIG names no file'}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
