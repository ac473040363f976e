"""
rosemarypath.explaining
~~~~~~~~~~~~~~~~~~~~~~~

Reads decision logs and explains the outcome of a request and its cause.
"""

from dataclasses import dataclass, field

import msgspec

__all__ = ["Explanation", "explain_request", "read_records"]

CAUSES = {
    "over_budget": "the customer's budget was used up; see its contract below",
    "unknown_key": "the key belongs to no customer of the configuration in force",
    "no_route": "no route in force matches the host and the path",
    "no_configuration": "the daemon had read no configuration yet since its start",
    "stopping": "the daemon was stopping and no longer accepted requests",
    "no_back_end": "no back end of the service was in service",
    "cannot_load": "no engine could load the adapter: see the loads above",
    "blocked_request": "back ends crashed under this request, see suspect",
    "blocked_prompt": "engines crashed under a part of its prompt, see prompt_part",
    "no_place_in_time": "on every engine too many adapters were waiting for a place",
    "no_room_in_time": "no engine had room for it before it was due to begin",
    "all_tried_or_cold": "every back end that may run it was tried or is cold",
    "no_room": "every back end had asked for fewer requests: see the limits below",
    "limited": "the limit of a back end in need was used up",
    "unreachable": "no connection to the back end could be opened",
    "withdrawn": "the back end stopped accepting requests during the connect",
    "rejected": "the back end reported that it did not run the request",
    "broken": "the back end's answer broke off or was not valid",
    "silent": "the back end sent nothing until the timeout",
    "failed": "the back end itself answered with an error",
    "deadline": "the deadline passed",
}
CONTEXT_EVENTS = {
    "adopted",
    "contract",
    "lost",
    "regained",
    "leaving",
    "removed",
    "limited",
    "ended",
    "paused",
}
CONTEXT_SECONDS = 3.0  # before the end of a request, in which context is shown


@dataclass(frozen=True)
class Explanation:
    """
    The outcome of a request, as the decision logs show it.

    `records` are its log records in order of time, `context` the changes that the same
    daemons logged shortly before its end. `outcome` and `cause` are sentences.
    `unreadable` is the number of log lines that could not be decoded.
    """

    request: str
    records: tuple
    context: tuple = ()
    outcome: str = ""
    cause: str = ""
    unreadable: int = 0
    machines: tuple = field(default_factory=tuple)

    @property
    def lines(self):
        """Return the explanation as lines of text, one for each record."""
        if not self.records:
            return [f"{self.request}: no log line names this request"]
        start = self.records[0]["at"]
        lines = [_format_record(record, start) for record in self.records]
        if self.context:
            lines.append("changes that its daemons logged shortly before:")
            lines += [f"  {_format_record(record, start)}" for record in self.context]
        lines.append(f"outcome: {self.outcome}")
        lines.append(f"cause: {self.cause}")
        if self.unreadable:
            lines.append(f"{self.unreadable} lines could not be read and were left out")
        return lines


def read_records(lines):
    """
    Return the records in an iterable of log lines, and the number of unreadable lines.

    Anything before the first brace of a line is ignored, so that lines to which another
    program added a prefix can be read too.
    """
    records = []
    unreadable = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = msgspec.json.decode(line[start:].encode())
        except (msgspec.DecodeError, UnicodeEncodeError):
            unreadable += 1
            continue
        if isinstance(record, dict) and "at" in record and "event" in record:
            records.append(record)
        else:
            unreadable += 1
    return records, unreadable


def explain_request(request, records, unreadable=0):
    """Return the `Explanation` of `request` from the records of all daemons."""
    request_records = [record for record in records if record.get("request") == request]
    request_records.sort(key=lambda record: record["at"])
    if not request_records:
        return Explanation(request, (), unreadable=unreadable)
    machines = {record["machine"] for record in request_records}
    end = request_records[-1]["at"]
    context = [
        record
        for record in records
        if record["machine"] in machines
        and record["event"] in CONTEXT_EVENTS
        and not record.get("request")
        and end - CONTEXT_SECONDS <= record["at"] <= end
    ]
    restart = _seconds_until_restart(request_records[-1], records)
    outcome, cause = _outcome_and_cause(request_records, restart)
    return Explanation(
        request,
        tuple(request_records),
        tuple(sorted(context, key=lambda record: record["at"])),
        outcome,
        cause,
        unreadable,
        tuple(sorted(machines)),
    )


def _seconds_until_restart(last, records):
    """Return the seconds until the daemon of `last` started again, or ``None``."""
    starts = [
        record["at"] - last["at"]
        for record in records
        if record["machine"] == last["machine"]
        and record["event"] == "start"
        and record["at"] > last["at"]
    ]
    return min(starts, default=None)


def _outcome_and_cause(records, restart):
    """
    Return outcome and cause of the request with the given records.

    `restart` is the number of seconds from the last record to the next start of the
    same daemon, or ``None``.
    """
    last = records[-1]
    event = last["event"]
    if event == "left":
        return "the caller left", _cause_of_leaving(records)
    if event == "passed":
        status = last.get("status")
        return (
            f"the back end's failure {status} was passed on",
            _cause_of_passed_failure(records),
        )
    if event == "answered":
        return _answered_outcome(last)
    why = last.get("why") or event
    cause = CAUSES.get(why, why)
    earlier = [r["event"] for r in records[:-1] if r["event"] in CAUSES]
    if earlier and why != earlier[-1]:
        cause += f"; before that: {', '.join(earlier)}"
    if event in {"refused", "failed"} and last.get("part") == "entry":
        return f"{event} with status {last.get('status')}", cause
    return "no end is logged", _cause_of_missing_end(restart)


def _answered_outcome(last):
    detail = str(last.get("detail"))
    if detail.startswith("5"):
        return f"answered ({detail})", "the back end itself answered with that failure"
    return f"answered ({detail})", _describe_latency(last)


def _cause_of_passed_failure(records):
    sends = [r for r in records if r.get("part") == "send"]
    tried = ", ".join(f"{r.get('back_end')}: {r.get('detail')}" for r in sends)
    return f"every back end that was tried answered with its own error ({tried})"


def _cause_of_missing_end(restart):
    if restart is None:
        return "its daemon was cut off, or logged nothing more while the request ran"
    return (
        f"its daemon ended during the request and started again {restart:.1f} s later"
    )


def _cause_of_leaving(records):
    last = records[-1]
    waited = f"{last.get('waited')} s"
    if last.get("stage") == "load":
        return f"it waited {waited} for {last['back_end']} to load the adapter"
    if last.get("stage") == "holder":
        return f"it waited {waited} for an engine that could load its adapter"
    if last.get("stage") == "quarantine":
        return (
            f"it waited {waited} as back ends had crashed under a part of its prompt, "
            "or under it"
        )
    if last.get("stage") == "send" and last.get("events"):
        count = last["events"]
        return f"{last['back_end']} had sent {count} events {waited} after the request"
    if last.get("stage") == "send":
        return f"{last['back_end']} had sent nothing {waited} after the request"
    return "no answer had been received when it left"


def _describe_latency(record):
    first = record.get("first", 0.0)
    gap = record.get("gap", 0.0)
    return f"first byte after {first} s, longest pause {gap} s"


def _format_record(record, start):
    shown = {
        name: value
        for name, value in record.items()
        if name not in {"at", "machine", "part", "event", "request"}
        and value not in ("", None)
    }
    fields_text = " ".join(f"{name}={value}" for name, value in shown.items())
    offset = record["at"] - start
    part_and_event = f"{record['part']}: {record['event']}"
    return f"{offset:+8.3f} {record['machine']} {part_and_event} {fields_text}"
