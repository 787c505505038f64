"""Composition root of a director: builds its parts, connects them, starts and stops them.

The platform's configuration and an optional operator's file determine which parts exist. The operator's file
may enable purges, recovery, audit and leases (see `operator_parts`).
"""

from __future__ import annotations

import asyncio
import logging
import math
import os
import random
import socket
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING

from . import shutdown
from .admin.handler import AdminHandler
from .admin.live_settings import apply_live
from .admin.requests import AdminRequest
from .admin.settings_changes import SettingsChanges
from .clock import Clock
from .deployment.checks import BadSetting
from .discovery.client import DiscoveryClient
from .endpoints.plan import Endpoints
from .net.client_listener import ClientListener
from .net.config import Config, ConfigError
from .net.connection_pool import ConnectionPool
from .net.descriptors import share_descriptors
from .net.director import Director
from .net.memory_budget import (
    TRANSIENT_BYTES,
    MemoryBudget,
    MemoryPlan,
    is_too_small,
    plan_memory,
    share_with_successor,
)
from .net.memory_monitor import BYTES_PER_MB, CHECK_MS, MemoryMonitor
from .net.reply_memory import ReplyMemory
from .process import STANDARD_DESCRIPTORS, descriptor_limit
from .routing.idempotency import BYTES_PER_KEY
from .supervision import Supervisor
from .timer_wheel import TimerWheel

if TYPE_CHECKING:
    from .admin.endpoint import AdminEndpoint
    from .audit.service import AuditService
    from .hot_restart.coordinator import RestartCoordinator
    from .leases.client import LeaseClient
    from .purges.subscription import PurgeSubscription
    from .recovery.service import Recovery
    from .settings.operator import Operator

log = logging.getLogger("gladelane")
endpoints_log = logging.getLogger("gladelane.endpoints")

ENDPOINTS_SEED = 0x656E6473  # "ends" in ASCII


class Server:
    """One director with all its parts; `config` contains everything that distinguishes it from others."""

    def __init__(
        self,
        config: Config,
        operator: Operator | None = None,
        inherited_descriptors: int = STANDARD_DESCRIPTORS,
        resident_bytes: Callable[[], float] = lambda: 0.0,
        read_files: Callable[[Server], object] = lambda _: None,
    ) -> None:
        """`inherited_descriptors` is the number of descriptors that were open before the start.
        `resident_bytes` returns the memory of the process. `read_files` reads the configuration files again
        and calls `reload` with what it has read. Raises ConfigError, OSError."""
        self.config = config
        self._read_files = read_files
        self.clock = Clock()
        self.timers = TimerWheel(self.clock.now)
        # This generator is separate, so that routing decisions do not depend on which addresses were dialled.
        rng = random.Random(config.seed ^ ENDPOINTS_SEED)
        self.endpoints = Endpoints(rng, log_warning=endpoints_log.warning)
        descriptors = descriptor_limit(config.limits.sockets)
        self.shares = share_descriptors(descriptors, inherited_descriptors, _count_purge_servers(operator))
        self._resident_bytes = resident_bytes
        plan = self._plan_memory()
        self.memory = MemoryBudget(plan.budget_bytes)
        self.director = self._make_director(int(plan.key_bytes / BYTES_PER_KEY))
        self.director.extra_metrics = self._part_metrics
        self.settings_changes = SettingsChanges(
            config.settings, self.director, self.clock.now, self.timers.schedule
        )
        self.upstream = self._make_pool()
        self.director.sender, self.upstream.owner = self.upstream, self.director
        self.client_listener = ClientListener(
            self.director, self.clock.now, self.timers, plan.clients, self.memory, descriptors
        )
        self.memory_monitor = MemoryMonitor(
            self.memory,
            self.client_listener,
            self.clock.now,
            resident_bytes,
            config.limits.memory_mb * BYTES_PER_MB,
        )
        self.admin_handler = self._make_admin_handler()
        self.purges: PurgeSubscription | None = None
        self.recovery: Recovery | None = None
        self.audit: AuditService | None = None
        self.lease_client: LeaseClient | None = None
        if operator is not None:
            self.configure(operator)
            self._open_operator_parts(operator)
        self.port = 0
        self.folder = os.environ.get("TMPDIR", "")
        self.admin_endpoint: AdminEndpoint | None = None
        self.restart_coordinator: RestartCoordinator | None = None
        self._supervisor = Supervisor()
        self._discovery_task: asyncio.Task[None] | None = None

    def _make_director(self, max_keys: int) -> Director:
        config = self.config
        return Director(config.settings, config.seed, self.clock.now, self.timers, self.endpoints, max_keys)

    def _make_pool(self) -> ConnectionPool:
        def recount_answers() -> None:
            self.client_listener.recount_answers()

        return ConnectionPool(
            self.config.conn,
            self.shares.upstream,
            self.clock.now,
            self.timers,
            self.endpoints,
            ReplyMemory(self.memory, recount_answers),
        )

    def _process_limit_bytes(self) -> float:
        """What this process may take. A hot restart needs room for a second process."""
        limit_bytes = self.config.limits.memory_mb * BYTES_PER_MB
        if self.config.ops is None:
            return limit_bytes
        return share_with_successor(limit_bytes, self._resident_bytes())

    def _plan_memory(self) -> MemoryPlan:
        """Divides the memory that the process has not taken yet. Raises ConfigError if it is too little."""
        limit_bytes, resident = self.config.limits.memory_mb * BYTES_PER_MB, self._resident_bytes()
        if is_too_small(limit_bytes, resident):
            expected = f"at least {math.ceil((resident + TRANSIENT_BYTES) / BYTES_PER_MB)}"
            raise ConfigError(BadSetting("limits.memory_mb", self.config.limits.memory_mb, expected))
        return plan_memory(self._process_limit_bytes(), resident, self.shares.clients)

    def divide_memory(self) -> None:
        """Divides the memory again, by what the process has taken at its start."""
        plan = self._plan_memory()
        self.client_listener.read_bytes = plan.read_bytes
        self.memory_monitor.limit_bytes = self._process_limit_bytes()
        if self.restart_coordinator is not None:
            self.restart_coordinator.change_limits(plan.clients, plan.budget_bytes)
        else:
            self.client_listener.cap, self.memory.limit_bytes = plan.clients, plan.budget_bytes
        self.timers.repeat(CHECK_MS, self.memory_monitor.check)
        log.info(
            "memory resident_mb=%.1f budget_mb=%.1f clients=%d read_bytes=%d",
            self._resident_bytes() / BYTES_PER_MB,
            plan.budget_bytes / BYTES_PER_MB,
            plan.clients,
            plan.read_bytes,
        )

    def _make_admin_handler(self) -> AdminHandler:
        return AdminHandler(
            self.director,
            self.client_listener.drain,
            self.clock.now,
            self.client_listener.send_goaway_to_all,
            self._share_admin_request,
        )

    def _open_operator_parts(self, operator: Operator) -> None:
        from . import operator_parts as parts

        if operator.purges is not None:
            self.purges = self.director.guard = parts.open_purges(operator.purges, self.director, self.clock)
        if operator.recovery is not None:
            self.recovery = parts.open_recovery(
                operator.recovery, self.config, self.director, self.purges, self.clock, self.admin_handler
            )
        if self.purges is None:
            return
        if operator.fleet is not None:
            self.audit = self.director.audit = parts.open_audit(
                operator.fleet,
                self.config,
                self.director,
                self.purges,
                self.clock,
                self.client_listener,
                self.follow_discovery,
            )
            self.purges.on_change = self.audit.refresh_view
        if operator.owners is not None:
            self.lease_client = parts.open_leases(operator.owners, self.purges, self.config)

    def _part_metrics(self) -> list[tuple[str, int]]:
        """Metrics of the admin endpoint, of restarted tasks, and of the parts that the operator's file
        enables."""
        metrics = [("task_failures", self._count_task_failures()), *self.memory_monitor.lines()]
        metrics += self.admin_endpoint.metrics.lines() if self.admin_endpoint is not None else []
        metrics += self.recovery.lines() if self.recovery is not None else []
        return metrics + (self.audit.lines() if self.audit is not None else [])

    def _count_task_failures(self) -> int:
        """The number of long-lived tasks and threads that had to be restarted."""
        failures = self._supervisor.failures
        failures += self.admin_endpoint.failures if self.admin_endpoint is not None else 0
        parts = self.audit, self.recovery, self.lease_client, self.purges
        return failures + sum(part.supervisor.failures for part in parts if part is not None)

    # --- start

    async def start(self) -> int:
        """Starts all parts and returns the port for clients. Raises OSError.

        Clients are accepted only after all known state has been applied: a director that accepts clients
        guarantees that."""
        listening_socket = self._connect_to_predecessor()
        self._restore_state()
        if listening_socket is not None:
            self._read_files(self)  # they may have changed since this process has read them
        if self.config.ops is not None:
            self._open_admin_endpoint(*self.config.ops)
        self._supervisor.start("timers", self.timers.run)
        self.follow_discovery()
        if self.purges is not None:
            await self._start_purges(self.purges)
        if self.audit is not None:
            await self.audit.start()
        host, port = self.config.listen
        is_shared = self.config.ops is not None
        self.port = await self.client_listener.listen(host, port, listening_socket, shared=is_shared)
        if self.restart_coordinator is not None:
            self._listen_for_successors(self.restart_coordinator)
        self.admin_handler.accepts_clients = True
        return self.port

    def _connect_to_predecessor(self) -> socket.socket | None:
        """Returns the listening socket of the process that this one replaces in a hot restart, or None if
        there is no such process. Without an admin endpoint there are no hot restarts."""
        if self.config.ops is None or not self.folder:
            return None
        from .hot_restart.coordinator import RestartCoordinator

        host, port = self.config.listen
        self.restart_coordinator = RestartCoordinator(
            self.folder,
            f"{self.config.name} {host}:{port}",
            self.clock,
            self.director,
            self.upstream,
            self.client_listener,
            self.admin_handler,
            self.settings_changes,
            lambda: self._read_files(self),
        )
        return self.restart_coordinator.connect()

    def _listen_for_successors(self, coordinator: RestartCoordinator) -> None:
        from .hot_restart.settings_replication import RENEW_MS

        coordinator.listen()
        self.timers.repeat(RENEW_MS, coordinator.renew_settings)

    def _restore_state(self) -> None:
        """Applies the state in the configuration, then the state left by an earlier process."""
        for event in self.config.known.notices:
            self.director.apply_watch_event(event)
        self.director.rev = max(self.director.rev, self.config.known.rev)
        if self.restart_coordinator is not None:
            self.restart_coordinator.take_over()
        if self.recovery is not None:
            self.recovery.restore()
            self.recovery.start()

    def _open_admin_endpoint(self, host: str, port: int) -> None:
        from .admin.endpoint import AdminEndpoint  # imported on demand: it starts a thread

        loop = asyncio.get_running_loop()
        self.admin_endpoint = AdminEndpoint(self.admin_handler, loop, self.shares.callers)
        self.admin_endpoint.open(host, port)

    async def _start_purges(self, purges: PurgeSubscription) -> None:
        """Starts the subscription, and waits until it has applied the purges that the purge servers know."""
        from .purges.order_sender import OrderSender

        timeout_ms = self.config.conn.dial_timeout_ms
        purges.start(OrderSender(purges.orders, self.endpoints, self.upstream, timeout_ms))
        if self.lease_client is not None:
            self.lease_client.start()
        await purges.ready()

    def follow_discovery(self) -> None:
        """Connects to the discovery server immediately and watches it from the last applied revision. An
        earlier watch, or its backoff, is cancelled."""
        if self._discovery_task is not None:
            self._discovery_task.cancel()
        rng = random.Random(f"{self.config.name} {self.config.seed}")
        client = DiscoveryClient(
            *self.config.discovery, lambda: self.director.rev, self.director.apply_watch_event, rng
        )
        if self.audit is not None:
            client.on_received, client.steady_clock = self.audit.lease.renew_list, self.audit.steady_ms
        self._discovery_task = self._supervisor.start("discovery", client.run)

    def _share_admin_request(self, request: AdminRequest) -> Future[None] | None:
        """Passes an admin request that this process has applied to the other process of a hot restart.
        Returns a future that completes once the request is stored; None if nothing stores it."""
        if self.restart_coordinator is None:
            return None
        return self.restart_coordinator.share_admin_request(request)

    # --- new configuration

    def configure(self, operator: Operator) -> None:
        """Applies an operator's file under load as one change, and cancels dials to removed addresses."""
        self.director.configure(operator.options, operator.rules)
        if self.audit is not None and operator.fleet is not None:
            self.audit.reconfigure(operator.fleet.digest)

    def reload(self, config: Config, operator: Operator | None = None) -> None:
        """Applies the settings that may change under load: discovery, classes, attempts and the operator's
        file. All other settings are tied to sockets and limits in use, so a change of them takes effect after
        a restart only, and is logged."""
        if operator is not None:
            self.configure(operator)
        settings, after_restart = apply_live(self.config.settings, config.settings)
        if settings != self.config.settings:
            self.config.settings = settings
            self.settings_changes.replace_in_use(settings)
        has_moved = config.discovery != self.config.discovery
        self.config.discovery = config.discovery
        for event in config.known.notices:
            self.director.apply_watch_event(event)  # it ignores events that it has applied before
        if has_moved:
            self.follow_discovery()
        config.known, config.seed = self.config.known, self.config.seed  # used at the start only
        config.ops, config.settings = self.config.ops, self.config.settings
        after_restart += _changed_keys(config, self.config)
        log.info("reloaded discovery=%s:%d moved=%d rev=%d", *config.discovery, has_moved, self.director.rev)
        if after_restart:
            log.warning("reloaded: a change of %s takes effect after a restart", ", ".join(after_restart))

    def share_reload(self) -> None:
        """Passes a new configuration file on to the other processes of this director, which got no signal."""
        if self.restart_coordinator is not None:
            self.restart_coordinator.share_reload()

    # --- stop

    async def drain(self) -> None:
        """Shuts down gracefully: lets clients leave and answers pending requests; see `shutdown.drain`."""
        self.admin_handler.accepts_clients = False
        has_peer = self.restart_coordinator is not None and self.restart_coordinator.has_peers
        await shutdown.drain(self.director, self.client_listener, has_peer)

    async def close(self) -> None:
        """Closes all parts, whether or not `drain` was called. An error in one part keeps no other part
        open."""
        parts = (
            self.admin_endpoint,
            self.restart_coordinator,
            self.client_listener,
            self.upstream,
            self.audit,
            self.recovery,
            self.lease_client,
            self.purges,
            self._supervisor,
        )
        for part in parts:
            try:
                if part is not None and (closing := part.close()) is not None:
                    await closing
            except Exception:
                log.exception("closing failed part=%s", type(part).__name__)


def _count_purge_servers(operator: Operator | None) -> int:
    return len(operator.purges.servers) if operator is not None and operator.purges is not None else 0


def _changed_keys(old: Config, new: Config) -> list[str]:
    """The names of the keys in which two configurations differ."""
    return [name for name in old.__struct_fields__ if getattr(old, name) != getattr(new, name)]
