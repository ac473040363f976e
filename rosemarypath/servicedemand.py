"""
rosemarypath.servicedemand
~~~~~~~~~~~~~~~~~~~~~~~~~~

Rates of the requests for each service, as all daemons receive them.
"""

from math import exp

__all__ = ["ServiceDemand"]

RATE_SECONDS = 1.0  # smoothing; long against a heartbeat, short against a burst
PEER_SECONDS = 1.0  # for which the rates of a peer count
MIN_RATE = 0.01  # per second; lower rates are not reported
NO_RATES = (0.0, 0.0, 0.0)
# Refusals by which a request would have been served if there were more back ends.
ROOM_REASONS = frozenset(
    {
        "all_tried_or_cold",
        "cannot_load",
        "deadline",
        "no_back_end",
        "no_place_in_time",
        "no_room",
    }
)


class ServiceDemand:
    """
    Requests, refusals for lack of room, and tokens per second by service.

    It counts only the services of `names`, which bounds it; the rates of others are
    kept for the peers that the heartbeats come from.
    """

    def __init__(self):
        self._own = {}
        self._at = {}
        self._peers = {}
        self.names = frozenset()

    def record_request(self, service, tokens, now):
        """Count an admitted request that may use so many tokens."""
        self._add(service, (1.0, 0.0, tokens), now)

    def record_refusal(self, service, reason, now):
        """Count a refused request if there was no room for it."""
        if reason in ROOM_REASONS:
            self._add(service, (0.0, 1.0, 0.0), now)

    def report(self, now):
        """Return the rates at this daemon: requests, refusals and tokens by service."""
        rates = {name: self._decayed(name, now) for name in self._own}
        return {
            name: tuple(round(rate, 2) for rate in rates_of_service)
            for name, rates_of_service in rates.items()
            if max(rates_of_service) >= MIN_RATE
        }

    def record_peer(self, name, rates, now):
        """Record the rates that a heartbeat or digest of `name` reports."""
        if rates:
            self._peers[name] = (rates, now)
        else:
            self._peers.pop(name, None)

    def total(self, service, now):
        """Return requests, refusals and tokens per second at all daemons."""
        totals = list(self._decayed(service, now))
        for name, (rates, at) in list(self._peers.items()):
            if now - at >= PEER_SECONDS:
                del self._peers[name]
                continue
            for index, rate in enumerate(rates.get(service, NO_RATES)):
                totals[index] += rate
        return tuple(totals)

    def _add(self, service, amounts, now):
        if service not in self.names:
            return
        known = self._decayed(service, now)
        self._own[service] = tuple(
            rate + amount / RATE_SECONDS for rate, amount in zip(known, amounts)
        )
        self._at[service] = now

    def _decayed(self, service, now):
        rates = self._own.get(service)
        if rates is None:
            return NO_RATES
        factor = exp(-max(0.0, now - self._at[service]) / RATE_SECONDS)
        return tuple(rate * factor for rate in rates)
