"""Hot restart: two processes of one director run beside each other while a new version replaces an old one.

`handover`, `learnt`, `messages` and `decoding` are pure: the state that is handed over, its stored form, and
the messages. `rendezvous_socket` and `channel` have the sockets, `handover_file` the file, and `coordinator`
connects them to a running director; `coordinator.RestartCoordinator` is what the program uses.
"""
