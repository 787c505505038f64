"""The control plane, whose servers offer the fleet's shared services over HTTP, outside the request path.

`server` accepts connections and passes each request to the `ControlPart` (`part`) that has its route. Purges,
the audit and leases are such parts; no part depends on another. `group_commit` stores entries in batches,
`positions` and `replication` track which entries this server and its peers have stored, and `event_stream`
sends server-sent events. `http` implements the protocol for servers and clients, `tokens` authenticates
callers, and `errors` defines the fixed names under which operators see errors.
"""
