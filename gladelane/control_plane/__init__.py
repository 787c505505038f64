"""The control plane: a server that offers the fleet's shared services over HTTP, apart from the request path.

`server` accepts connections and passes each request to the `ControlPart` (`part`) that has its route. Purges,
the audit and leases are such parts; no part depends on another. `group_commit` stores entries in batches,
`positions` and `replication` track which entries this server and its peers have stored, and `event_stream`
sends server-sent events. `http` has the protocol and the client's calls, `tokens` authenticates callers, and
`errors` fixes the names by which operators know errors.
"""
