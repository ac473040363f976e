"""
rosemarypath.platform.dialect
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The platform's names, formats and calls as one object, which the daemon uses.
"""

import msgspec

from rosemarypath.platform import (
    configuration,
    duties,
    engine,
    requests,
    servers,
    settings,
    store,
)

__all__ = ["PlatformDialect"]

METRICS_PORT = 9464  # the deployment file names the same port


class PlatformDialect:
    """Names, formats and calls of the users' platform."""

    configuration_kind = configuration.CONFIGURATION_KIND
    configuration_name = configuration.CONFIGURATION_NAME
    evacuation_kind = configuration.EVACUATION_KIND
    version_kind = configuration.VERSION_KIND
    server_kind = servers.SERVER_KIND
    readiness_path = b"/api/ready"
    directory_path = b"/api/resolve"

    store = store.PlatformStore
    engine_client = engine.EngineClient
    duty_client = duties.DutyClient
    read_settings = staticmethod(settings.read_settings)
    decode_configuration = staticmethod(configuration.decode_configuration)
    decode_version = staticmethod(configuration.decode_version)
    configuration_number = staticmethod(configuration.configuration_number)
    decode_server = staticmethod(servers.decode_server)
    decode_demand = staticmethod(requests.decode_demand)
    forwarded_headers = staticmethod(requests.forwarded_headers)
    decode_answer_head = staticmethod(requests.decode_answer_head)
    refusal_headers = staticmethod(requests.refusal_headers)
    request_id = staticmethod(requests.request_id)

    @staticmethod
    def encode_directory_answer(addresses, ttl):
        """
        Return headers and body of an answer that lists `addresses`, 64 at most.

        Callers may cache the list for `ttl` seconds.
        """
        body = msgspec.json.encode({"addresses": addresses[:64], "ttlS": ttl})
        return [(b"Content-Type", b"application/json")], body

    @staticmethod
    def metrics_address(edge_settings):
        """Return ``host:port`` of the metrics; the host is that of `peers_address`."""
        host = edge_settings.peers_address.rpartition(":")[0]
        return f"{host}:{METRICS_PORT}"
