"""Every routing decision of a director, without I/O: time and randomness are arguments.

`router.Router` takes events and returns actions (`events`). It dispatches each event to parts,
one module for each concern, which share a `context.RoutingContext` and a `request_state.RequestTable`. The
module `idempotency` is used by the director and not by the router.
"""
