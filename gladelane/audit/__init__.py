"""The audit of a fleet: which versions each director acted on, which directors lag behind, and how long a
director may act without a reply from a control server.

The decisions are made by modules without I/O: `view`, `view_lease` and `activity_log` on a director;
`audit_store`, `run_history`, `audit_queries`, `verification`, `fleet_versions`, `escalation` and
`lag_monitor` on a control server. `wire`, `records` and `replies` define the messages. The entry points are
`service.AuditService` on a director and `server.AuditServer` on a control server. The package is imported
only where an operator's file or a server's option enables the audit.
"""
