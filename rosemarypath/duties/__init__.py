"""
rosemarypath.duties
~~~~~~~~~~~~~~~~~~~

Duties: calls to the platform's API that one daemon at a time makes for a subject.

A duty class is registered by its name in `DutySettings.names`. It has:

``from_config(context)``
    Class method that returns the duty; `context` is a `DutyContext`.
``subjects(now)``
    Returns the names of the subjects to hold now; they become names of objects in the
    store. `now` is on the clock for timeouts. All daemons must come to the same names.
``async perform(subject, token, now)``
    Does what is due for `subject`. Called about every 0.3 s, one call at a time for
    each subject, while this daemon's lease of it is confirmed. `token` is a callable
    that returns the fencing token, 0 as soon as no call may be sent; it is passed to
    the client. The call is cancelled when the lease is lost or the daemon stops.
"""

from dataclasses import dataclass

from rosemarypath.registry import Registry

__all__ = ["DutyContext", "duties", "find_duty"]

duties = Registry()


def find_duty(name):
    """Return the duty class registered as `name`, or ``None``."""
    from rosemarypath.duties import autoscaling, usage  # noqa: F401

    return duties[name] if name in duties else None


@dataclass(frozen=True)
class DutyContext:
    """
    What a duty works with.

    Options:

    `settings`
        The `EdgeSettings`, whose `duties` are set.
    `fleet`
        The `FleetView`.
    `peers`, `mesh`
        The other daemons, and the links to them.
    `store`, `store_cache`
        The client of the platform's store, and the local copies of its objects.
    `client`
        The client of the platform's API, as `rosemarypath.platform.duties.DutyClient`.
    `log`, `metrics`
        The `DecisionLog` and the `EdgeMetrics`.
    """

    settings: object
    fleet: object
    peers: object
    mesh: object
    store: object
    store_cache: object
    client: object
    log: object
    metrics: object
