"""
proofs.rules
~~~~~~~~~~~~

Checkers of the safety rules. Each rule has one checker, which reads only the
recorded event history of a run.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["Verdict", "check_all", "get_rule_by_number", "rule"]

LEAVING_GRACE_SECONDS = 4.0
ACCEPTANCE_GRACE_SECONDS = 1.0
RATE_TOLERANCE_SECONDS = 0.005

_rules = {}


@dataclass(frozen=True)
class Verdict:
    """
    The result of one checker.

    `checked` is the number of events that the rule applied to, `violations` has one
    message for each violation.
    """

    number: int
    title: str
    checked: int
    violations: tuple

    @property
    def state(self):
        """Return ``held``, ``broken`` or, if no event was checked, ``not run``."""
        if self.violations:
            return "broken"
        return "held" if self.checked else "not run"

    def __str__(self):
        return f"rule {self.number:02d} {self.state}: {self.checked} events checked"


def rule(number, title):
    """
    Register a checker under the number of its rule.

    The decorated function takes a `Run` and returns ``(checked, violations)``; the
    registered checker returns a `Verdict`.
    """

    def register(function):
        def check(run):
            checked, violations = function(run)
            return Verdict(number, title, checked, tuple(violations))

        _rules[number] = check
        return check

    return register


def get_rule_by_number(number):
    """Return the checker of rule `number`; raises `KeyError` if there is none."""
    return _rules[number]


def check_all(run):
    """Return the `Verdict` of every rule, ordered by rule number."""
    return [_rules[number](run) for number in sorted(_rules)]


def _accepted_at(run, revision):
    """Return when `revision` or a later one was first accepted, or ``None``."""
    times = [e["time"] for e in run.of("accepted") if e["revision"] >= revision]
    return min(times, default=None)


@rule(1, "requests run on the adapter and version of their route")
def check_adapter_version(run):
    """Compare with the version in force at the revision that the daemon used."""
    sent = {(e["request"], e["adapter"]): e for e in run.of("sent")}
    routes = {e["request"]: e["route"] for e in run.of("admitted")}
    versions = defaultdict(list)
    for event in run.of("version_set"):
        versions[event["adapter"]].append((event["revision"], event["version"]))
    violations = []
    checked = 0
    for event in run.of("request_start"):
        if not event["adapter"]:
            continue
        checked += 1
        sent_event = sent.get((event["request"], event["adapter"]))
        if sent_event is None:
            violations.append(
                f"{event['request']} ran on {event['adapter']} but was not sent there"
            )
            continue
        name = routes.get(event["request"])
        expected = f"{name}@{_version_at(versions[name], sent_event['revision'])}"
        if event["adapter"] != expected:
            violations.append(
                f"{event['request']} ran on {event['adapter']}, expected {expected}"
            )
    return checked, violations


def _version_at(changes, revision):
    """Return the version at `revision`; `changes` are ``(revision, version)``."""
    versions = [version for number, version in sorted(changes) if number <= revision]
    return versions[-1] if versions else "1"


@rule(2, "adapters in use are never evicted")
def check_evictions(run):
    unloads = run.of("unload")
    violations = [
        f"{e['process']} unloaded {e['adapter']} while {e['in_use']} requests used it"
        for e in unloads
        if e["in_use"]
    ]
    return len(unloads), violations


@rule(3, "requests run only for the customer of their key")
def check_customer(run):
    owners = {}
    for event in run.of("caller_answered", "caller_stream_error", "caller_refused"):
        owners[event.get("request")] = event["customer"]
    route_owners = {e["route"]: e["customer"] for e in run.of("route_owner")}
    routes = {e["request"]: e["route"] for e in run.of("admitted")}
    violations = []
    checked = 0
    for event in run.of("request_start"):
        request = event["request"]
        checked += 1
        expected = owners.get(request, event["customer"])
        if event["customer"] != expected:
            violations.append(f"{request} of {expected} ran for {event['customer']}")
        route_owner = route_owners.get(routes.get(request), "")
        if route_owner and route_owner != event["customer"]:
            violations.append(f"{request} used a route of {route_owner}")
    return checked, violations


@rule(4, "no back end receives a caller's key")
def check_key_secrecy(run):
    violations = [f"{e['process']} received a caller's key" for e in run.of("key_seen")]
    return len(run.of("request_start")), violations


@rule(5, "withdrawn keys stop working within seconds")
def check_withdrawn_keys(run):
    violations = []
    checked = 0
    digests = {e["request"]: e["key"] for e in run.of("admitted")}
    for withdrawal in run.of("withdraw_accepted"):
        checked += 1
        limit = withdrawal["time"] + ACCEPTANCE_GRACE_SECONDS
        for event in run.of("sent"):
            uses_key = digests.get(event["request"]) == withdrawal["key"]
            if uses_key and event["time"] > limit:
                late = event["time"] - withdrawal["time"]
                violations.append(
                    f"{event['request']} was sent {late:.2f} s after its key ended"
                )
    return checked, violations


@rule(6, "rate and burst hold over all daemons")
def check_rates(run):
    """Compare the tokens used by admitted requests with the limits of each customer."""
    contracts = {e["customer"]: e for e in run.of("contract")}
    used = defaultdict(int)
    for event in run.of("request_end"):
        used[event["request"]] += event["tokens"] + event.get("prompt_tokens", 0)
    admitted = defaultdict(list)
    for event in run.of("admitted"):
        if event["tokens"]:
            tokens = used.get(event["request"], 0)
            admitted[event["customer"]].append((event["time"], tokens))
    violations = []
    checked = 0
    for customer, events in admitted.items():
        contract = contracts.get(customer)
        if contract is None:
            continue
        checked += len(events)
        excess = largest_excess(events, contract["rate"])
        allowed = contract["burst"] + contract["rate"] * RATE_TOLERANCE_SECONDS
        if excess > allowed:
            violations.append(
                f"{customer}: {excess:.0f} tokens above its rate, {allowed:.0f} allowed"
            )
    return checked, violations


def largest_excess(events, rate):
    """
    Return the maximum of tokens less `rate` times length over all time windows.

    `events` are ``(time, tokens)`` ordered by time, in seconds; `rate` is in tokens
    per second.

    >>> largest_excess([(0.0, 10), (1.0, 10)], 4.0)
    16.0
    """
    highest = 0.0
    excess = 0.0
    previous = None
    for time, tokens in events:
        if previous is not None:
            excess = max(0.0, excess - rate * (time - previous))
        excess += tokens
        previous = time
        highest = max(highest, excess)
    return highest


@rule(7, "back ends that have just started are not overloaded")
def check_cold_capacity(run):
    violations = [f"{e['process']} failed under overload" for e in run.of("fell_over")]
    return len([e for e in run.of("request_start") if e.get("cold")]), violations


@rule(8, "zones that are out receive no new requests")
def check_zones_out(run):
    zones = {e["back_end"]: e["zone"] for e in run.of("back_end_zone")}
    windows = _pair_windows(run.of("zone_out_accepted", "zone_in_begun"), "zone")
    return _find_late_arrivals(run, windows, lambda event: zones.get(event["process"]))


def _pair_windows(events, field):
    """
    Return ``[(name, start, end)]`` from begin and end events, in seconds.

    `field` is the field of the events that names their subject. A window that was not
    ended has an infinite end.
    """
    windows = []
    opened = {}
    for event in events:
        name = event[field]
        if event["kind"].endswith(("_accepted", "_set")):
            opened.setdefault(name, event["time"])
        elif name in opened:
            windows.append((name, opened.pop(name), event["time"]))
    windows += [(name, start, float("inf")) for name, start in opened.items()]
    return windows


def _find_late_arrivals(run, windows, name_of, grace=ACCEPTANCE_GRACE_SECONDS):
    """
    Return ``(checked, violations)`` for requests that started within `windows`.

    `name_of` returns the name to look up in the windows for an event. Requests within
    `grace` seconds of the start of a window are allowed.
    """
    violations = []
    for event in run.of("request_start"):
        for name, start, end in windows:
            if name_of(event) == name and start + grace < event["time"] < end:
                late = event["time"] - start
                violations.append(
                    f"{event['request']} reached {name} {late:.2f} s after closing"
                )
    return len(windows), violations


@rule(9, "answers are complete and belong to their request")
def check_answers(run):
    violations = []
    checked = 0
    for event in run.of("caller_answered"):
        if not event["model"]:
            continue
        checked += 1
        words = event["text"].split()
        expected = [
            f"{event['request']}:{index}" for index in range(event["max_tokens"])
        ]
        if [word.partition(":")[2] for word in words] != expected:
            violations.append(
                f"{event['request']} got {len(words)} words, not the expected answer"
            )
    return checked, violations


@rule(10, "requests reported as not run did not run")
def check_not_run(run):
    started = run.by_request("request_start")
    refusals = [e for e in run.of("caller_refused") if e["not_run"] is True]
    violations = [
        f"{e['request']} was refused as not run ({e['code']}) but ran"
        for e in refusals
        if e["request"] in started
    ]
    return len(refusals), violations


@rule(11, "non-idempotent requests run at most once")
def check_idempotency(run):
    violations = []
    counts = defaultdict(int)
    for event in run.of("request_start"):
        if event["adapter"]:
            continue
        counts[("request", event["request"])] += 1
        if event.get("idempotency_key"):
            counts[("key", event["idempotency_key"])] += 1
    for (kind, name), number in counts.items():
        if number > 1:
            violations.append(f"{kind} {name} ran {number} times")
    return len(counts), violations


@rule(12, "leaving back ends receive no new requests")
def check_leaving(run):
    windows = _pair_windows(run.of("leaving_set", "leaving_ended"), "back_end")
    return _find_late_arrivals(
        run, windows, lambda event: event["process"], LEAVING_GRACE_SECONDS
    )


@rule(13, "planned stops interrupt no request")
def check_planned_stops(run):
    violations = []
    checked = 0
    ends = {(e["machine"], e["stop"]): e["time"] for e in run.of("stop_ended")}
    results = run.of("caller_answered", "caller_broken", "caller_stream_error")
    broken_upstream = {e["request"] for e in run.of("stream_broken")}
    for begin in run.of("stop_begun"):
        end = ends.get((begin["machine"], begin["stop"]))
        if end is None:
            violations.append(f"{begin['machine']} did not stop")
            continue
        for event in results:
            overlaps = event["started"] <= end and event["time"] >= begin["time"]
            if event["address"] != begin["address"] or not overlaps:
                continue
            checked += 1
            is_interrupted = event["kind"] != "caller_answered"
            if is_interrupted and event.get("request") not in broken_upstream:
                violations.append(
                    f"{event['caller']} was cut off by {begin['machine']}'s stop"
                )
    return checked, violations


@rule(14, "accepted configuration is never reverted")
def check_revisions(run):
    accepted = sorted((e["time"], e["revision"]) for e in run.of("accepted"))
    times = [time for time, _ in accepted]
    highest = []
    for _, revision in accepted:
        highest.append(max(revision, highest[-1] if highest else 0))
    violations = []
    checked = 0
    for event in run.of("sent"):
        index = bisect_right(times, event["time"] - ACCEPTANCE_GRACE_SECONDS)
        if not index:
            continue
        checked += 1
        if event["revision"] < highest[index - 1]:
            violations.append(
                f"{event['process']} used revision {event['revision']}, "
                f"after {highest[index - 1]} was accepted"
            )
    return checked, violations
