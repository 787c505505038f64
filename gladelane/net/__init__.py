"""The director on the platform's sockets: clients on one side, caches, parents and the origin on the other.

`director.Director` turns what happens into events for the router and its decisions into attempts.
`client_listener.ClientListener` has the connections of clients, `connection_pool.ConnectionPool` those to
servers. The two protocols are `client_protocol` and `cache_protocol`, both without I/O.
"""
