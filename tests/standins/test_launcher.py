"""Ports for the processes of a deployment."""

import socket

from ragwortshelf.standins.launcher import free_ports


# Guards against processes that cannot listen, because an outgoing connection has taken
# their port meanwhile.
def test_ports_of_outgoing_connections_are_not_given_to_processes():
    ports = free_ports(100)
    assert len(set(ports)) == 100
    assert max(ports) < 32_768


def test_ports_in_use_are_left_out():
    with socket.socket() as listener:
        (port,) = free_ports(1)
        listener.bind(("127.0.0.1", port))
        assert all(port not in free_ports(100) for _ in range(20))
