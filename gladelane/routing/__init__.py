"""Every routing decision of a director, without I/O: time and randomness are arguments.

`router.Router` takes events and returns actions (`events`). It dispatches to parts, a module for each
concern, which share a `context.RoutingContext` and the `request_state.RequestTable`. The director itself uses
`idempotency`.
"""
