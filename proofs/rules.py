"""
proofs.rules
~~~~~~~~~~~~

One checker for each thing that must always hold; each reads the history alone.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass

__all__ = ["Verdict", "check_all", "get_rule_by_number", "rule"]

IN_FORCE_SECONDS = 4.0
AFTER_ACCEPTANCE_SECONDS = 1.0
RATE_TOLERANCE_SECONDS = 0.005

_rules = {}


@dataclass(frozen=True)
class Verdict:
    """
    What a checker found.

    `checked` counts the events it judged, `breaks` tells of each that broke the rule.
    """

    number: int
    title: str
    checked: int
    breaks: tuple

    @property
    def state(self):
        """Return held, broken or not run."""
        if self.breaks:
            return "broken"
        return "held" if self.checked else "not run"

    def __str__(self):
        return f"rule {self.number:02d} {self.state}: {self.checked} events checked"


def rule(number, title):
    """Register a checker: it returns ``(checked, breaks)`` for a `Run`."""

    def register(function):
        def check(run):
            checked, breaks = function(run)
            return Verdict(number, title, checked, tuple(breaks))

        _rules[number] = check
        return check

    return register


def get_rule_by_number(number):
    """Return the checker of rule `number`; raises `KeyError`."""
    return _rules[number]


def check_all(run):
    """Return the `Verdict` of every rule."""
    return [_rules[number](run) for number in sorted(_rules)]


def _accepted_at(run, revision):
    """Return when `revision`, or a later one, was accepted; ``None`` if never."""
    times = [e["time"] for e in run.of("accepted") if e["revision"] >= revision]
    return min(times, default=None)


@rule(1, "right adapter and version")
def right_adapter(run):
    sent = {(e["request"], e["adapter"]): e for e in run.of("sent")}
    routes = {e["request"]: e["route"] for e in run.of("admitted")}
    versions = defaultdict(list)
    for event in run.of("version_set"):
        versions[event["adapter"]].append((event["revision"], event["version"]))
    breaks = []
    checked = 0
    for event in run.of("request_start"):
        if not event["adapter"]:
            continue
        checked += 1
        order = sent.get((event["request"], event["adapter"]))
        if order is None:
            breaks.append(f"{event['request']} ran on {event['adapter']}, never sent")
            continue
        name = routes.get(event["request"])
        expected = f"{name}@{_version_at(versions[name], order['revision'])}"
        if event["adapter"] != expected:
            breaks.append(f"{event['request']} ran on {event['adapter']}: {expected}")
    return checked, breaks


def _version_at(changes, revision):
    known = [version for number, version in sorted(changes) if number <= revision]
    return known[-1] if known else "1"


@rule(2, "adapter in use never evicted")
def no_eviction_in_use(run):
    unloads = run.of("unload")
    breaks = [
        f"{e['process']} unloaded {e['adapter']} with {e['in_use']} in use"
        for e in unloads
        if e["in_use"]
    ]
    return len(unloads), breaks


@rule(3, "runs only for the key's customer")
def right_customer(run):
    owners = {}
    for event in run.of("caller_answered", "caller_stream_error", "caller_refused"):
        owners[event.get("request")] = event["customer"]
    route_owners = {e["route"]: e["customer"] for e in run.of("route_owner")}
    routes = {e["request"]: e["route"] for e in run.of("admitted")}
    breaks = []
    checked = 0
    for event in run.of("request_start"):
        request = event["request"]
        checked += 1
        expected = owners.get(request, event["customer"])
        if event["customer"] != expected:
            breaks.append(f"{request} of {expected} ran for {event['customer']}")
        route_owner = route_owners.get(routes.get(request), "")
        if route_owner and route_owner != event["customer"]:
            breaks.append(f"{request} used a route of {route_owner}")
    return checked, breaks


@rule(4, "no endpoint sees a key")
def no_key_seen(run):
    breaks = [f"{e['process']} saw a key" for e in run.of("key_seen")]
    return len(run.of("request_start")), breaks


@rule(5, "withdrawn key stops within seconds")
def withdrawn_key(run):
    breaks = []
    checked = 0
    digests = {e["request"]: e["key"] for e in run.of("admitted")}
    for withdrawal in run.of("withdraw_accepted"):
        checked += 1
        limit = withdrawal["time"] + AFTER_ACCEPTANCE_SECONDS
        for event in run.of("sent"):
            uses_key = digests.get(event["request"]) == withdrawal["key"]
            if uses_key and event["time"] > limit:
                late = event["time"] - withdrawal["time"]
                breaks.append(f"{event['request']} was sent {late:.2f} s later")
    return checked, breaks


@rule(6, "rate and burst across hosts")
def rate_and_burst(run):
    contracts = {e["customer"]: e for e in run.of("contract")}
    used = defaultdict(int)
    for event in run.of("request_end"):
        used[event["request"]] += event["tokens"] + event.get("prompt_tokens", 0)
    admitted = defaultdict(list)
    for event in run.of("admitted"):
        if event["tokens"]:
            tokens = used.get(event["request"], 0)
            admitted[event["customer"]].append((event["time"], tokens))
    breaks = []
    checked = 0
    for customer, events in admitted.items():
        contract = contracts.get(customer)
        if contract is None:
            continue
        checked += len(events)
        excess = largest_excess(events, contract["rate"])
        allowed = contract["burst"] + contract["rate"] * RATE_TOLERANCE_SECONDS
        if excess > allowed:
            breaks.append(
                f"{customer}: {excess:.0f} over its rate, {allowed:.0f} allowed"
            )
    return checked, breaks


def largest_excess(events, rate):
    """
    Return the largest tokens in any window, less `rate` times its length.

    `events` are ``(time, tokens)`` in order of time.

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


@rule(7, "fresh endpoint within its means")
def fresh_within_means(run):
    breaks = [f"{e['process']} fell over" for e in run.of("fell_over")]
    return len([e for e in run.of("request_start") if e.get("cold")]), breaks


@rule(8, "zone out: no new work")
def zone_out(run):
    zones = {e["back_end"]: e["zone"] for e in run.of("back_end_zone")}
    windows = _windows(run.of("zone_out_accepted", "zone_in_begun"), "zone")
    return _arrivals_in(run, windows, lambda event: zones.get(event["process"]))


def _windows(events, field):
    """Return ``[(name, from, until)]`` from alternating begin and end events."""
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


def _arrivals_in(run, windows, name_of, grace=AFTER_ACCEPTANCE_SECONDS):
    breaks = []
    for event in run.of("request_start"):
        for name, start, end in windows:
            if name_of(event) == name and start + grace < event["time"] < end:
                late = event["time"] - start
                breaks.append(f"{event['request']} reached {name} {late:.2f} s later")
    return len(windows), breaks


@rule(9, "whole answer to own request")
def whole_answer(run):
    breaks = []
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
            breaks.append(f"{event['request']} got {len(words)} other words")
    return checked, breaks


@rule(10, "not run is true")
def not_run_is_true(run):
    started = run.by_request("request_start")
    refusals = [e for e in run.of("caller_refused") if e["not_run"] is True]
    breaks = [
        f"{e['request']} was refused as not run ({e['code']}) and ran"
        for e in refusals
        if e["request"] in started
    ]
    return len(refusals), breaks


@rule(11, "non-idempotent at most once")
def at_most_once(run):
    breaks = []
    counts = defaultdict(int)
    for event in run.of("request_start"):
        if event["adapter"]:
            continue
        counts[("request", event["request"])] += 1
        if event.get("idempotency_key"):
            counts[("key", event["idempotency_key"])] += 1
    for (kind, name), number in counts.items():
        if number > 1:
            breaks.append(f"{kind} {name} ran {number} times")
    return len(counts), breaks


@rule(12, "leaving endpoint: no new work")
def leaving(run):
    windows = _windows(run.of("leaving_set", "leaving_ended"), "back_end")
    return _arrivals_in(run, windows, lambda event: event["process"], IN_FORCE_SECONDS)


@rule(13, "planned stop cuts nothing")
def planned_stop(run):
    breaks = []
    checked = 0
    ends = {(e["machine"], e["stop"]): e["time"] for e in run.of("stop_ended")}
    results = run.of("caller_answered", "caller_broken", "caller_stream_error")
    broken_upstream = {e["request"] for e in run.of("stream_broken")}
    for begin in run.of("stop_begun"):
        end = ends.get((begin["machine"], begin["stop"]))
        if end is None:
            breaks.append(f"{begin['machine']} never stopped")
            continue
        for event in results:
            overlaps = event["started"] <= end and event["time"] >= begin["time"]
            if event["address"] != begin["address"] or not overlaps:
                continue
            checked += 1
            is_cut = event["kind"] != "caller_answered"
            if is_cut and event.get("request") not in broken_upstream:
                breaks.append(f"{event['caller']} was cut at {begin['machine']}")
    return checked, breaks


@rule(14, "accepted configuration holds, never reverts")
def never_reverts(run):
    accepted = sorted((e["time"], e["revision"]) for e in run.of("accepted"))
    times = [time for time, _ in accepted]
    highest = []
    for _, revision in accepted:
        highest.append(max(revision, highest[-1] if highest else 0))
    breaks = []
    checked = 0
    for event in run.of("sent"):
        index = bisect_right(times, event["time"] - AFTER_ACCEPTANCE_SECONDS)
        if not index:
            continue
        checked += 1
        if event["revision"] < highest[index - 1]:
            breaks.append(
                f"{event['process']} used revision {event['revision']}, "
                f"{highest[index - 1]} was accepted"
            )
    return checked, breaks
