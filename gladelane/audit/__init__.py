"""The audit of a fleet: which versions each director acted on, which directors lag behind, and how long a
director may act without hearing from a control server.

Pure modules decide: `view`, `view_lease` and `activity_log` for a director; `audit_store`, `run_history`,
`audit_queries`, `verification`, `fleet_versions`, `escalation` and `lag_monitor` for a control server.
`wire`, `records` and `replies` are the messages. `service.AuditService` is the director's part and
`server.AuditServer` the control server's. The package is imported only where an operator's file or a server's
option asks for it.
"""
