"""Daily operation of one director: the door that operators call, what it reports, caches taken out by hand,
emptying the director, and settings that change under load. Decisions are pure; `door` alone has sockets."""
