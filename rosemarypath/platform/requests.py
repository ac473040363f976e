"""
rosemarypath.platform.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes and writes the headers of callers' requests and of back ends' answers.
"""

from rosemarypath.demand import AnswerHead, BadRequestError, Demand
from rosemarypath.platform.feedback import decode_feedback

__all__ = [
    "decode_answer_head",
    "decode_demand",
    "forwarded_headers",
    "refusal_headers",
    "request_id",
]

# Identifies one attempt of the caller. The daemon's own retries keep the identifier, so
# that it is the same at every back end that the request is sent to.
REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
LAST_EVENT = b"last-event-id"
MODEL = b"x-model"
TOKEN_USAGE = b"x-token-usage"
PROMPT_PREFIX = b"x-prompt-prefix"  # all parts of the prompt, not only its beginning
MAX_SHARED_PARTS = 32  # more are not looked at
BEARER_PREFIX = b"bearer "
SIGNATURE = b"x-response-signature"
NOT_EXECUTED = b"x-not-executed"
INSTANCE_ID = b"x-instance-id"
MISDIRECTED = 421  # the back end did not run the request
MAX_PRIORITY = 9  # the least urgent; 0 is the most urgent
DEFAULT_DEADLINE_SECONDS = 60.0  # for requests without the header
MS_PER_SECOND = 1000.0

# Hop-by-hop headers, and headers that only the system sets.
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"authorization",
        b"x-tenant",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        LAST_EVENT,
        DEADLINE,
    }
)

# Fields of which a second value would let this daemon and a back end decide
# differently about the same request.
SINGLE_FIELDS = frozenset(
    {
        b"host",
        b"authorization",
        REQUEST_ID,
        DEADLINE,
        LAST_EVENT,
        MODEL,
        TOKEN_USAGE,
        PROMPT_PREFIX,
    }
)


def request_id(headers):
    """Return the identifier of a caller's request, empty if it has none."""
    return _request_id(dict(headers))


def decode_demand(headers):
    """
    Return the `Demand` in a caller's headers (lower-case names).

    Raises `BadRequestError` if the identifier is missing, the deadline or the token
    usage is not a number, or a field that decides has two different values.
    """
    values = dict(headers)
    _require_single_values(headers, values)
    request = _request_id(values)
    if not request:
        raise BadRequestError("the request has no id", "send X-Attempt-Id")
    model, _, adapter = values.get(MODEL, b"").decode("latin-1").partition("/")
    prompt, output = _parse_token_usage(values.get(TOKEN_USAGE))
    parts = _parse_prompt_parts(values.get(PROMPT_PREFIX, b""))
    return Demand(
        request_id=request,
        deadline=_parse_deadline(values.get(DEADLINE)),
        key=_parse_key(values.get(b"authorization", b"")),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        last_event=values.get(LAST_EVENT, b""),
        shared_parts=parts[:-1][:MAX_SHARED_PARTS],
        own_part=parts[-1],
    )


def forwarded_headers(
    headers, demand, back_end, customer, priority, seconds_left, last_event
):
    """
    Return the header pairs to send to `back_end`.

    `seconds_left` is the time until the deadline. `last_event` is the identifier of the
    event after which a stream resumes, empty for a new request.
    """
    not_forwarded = NOT_FORWARDED | _headers_listed_in_connection(headers)
    pairs = [(name, value) for name, value in headers if name not in not_forwarded]
    pairs.append((b"X-Deadline-Ms", b"%d" % max(1, int(seconds_left * MS_PER_SECOND))))
    pairs.append((b"X-Expect-Instance", back_end.name.encode()))
    if customer:
        pairs.append((b"X-Tenant", customer.encode()))
    if demand.model:
        level = min(max(priority, 0), MAX_PRIORITY)
        pairs.append((b"X-Request-Priority", b"%d" % level))
    if last_event:
        pairs.append((b"Last-Event-Id", last_event))
    return pairs


def decode_answer_head(reply, request, back_end):
    """
    Return the `AnswerHead` of the reply of `back_end` to `request`.

    A reply without an identifier answers the request only if it is an error or a
    redirection (status 300 or above).
    """
    values = dict(reply.headers)
    answered_id = values.get(REQUEST_ID)
    has_not_run = NOT_EXECUTED in values or reply.status == MISDIRECTED
    if answered_id is None:
        matches_request = reply.status >= 300
    else:
        matches_request = answered_id.decode("latin-1") == request
    not_forwarded = NOT_FORWARDED | _headers_listed_in_connection(reply.headers)
    return AnswerHead(
        status=reply.status,
        headers=tuple(pair for pair in reply.headers if pair[0] not in not_forwarded),
        matches_request=matches_request,
        is_identified=answered_id is not None,
        is_signed=SIGNATURE in values,
        has_not_run=has_not_run,
        is_other_back_end=reply.status == MISDIRECTED
        and values.get(INSTANCE_ID, b"").decode("latin-1") not in ("", back_end.name),
        feedback=decode_feedback(reply, back_end),
    )


def refusal_headers(request):
    """Return the headers of an answer that the daemon itself gives to `request`."""
    return [(b"X-Attempt-Id", request.encode("latin-1"))] if request else []


def _require_single_values(headers, values):
    """Raise `BadRequestError` if a field that decides has two different values."""
    for name, value in headers:
        if name in SINGLE_FIELDS and values[name] != value:
            field = name.decode("latin-1")
            raise BadRequestError(
                f"the field {field} has two values", f"send {field} once"
            )


def _request_id(values):
    return values.get(REQUEST_ID, b"").decode("latin-1")


def _headers_listed_in_connection(headers):
    listed = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    return listed


def _parse_deadline(value):
    if value is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        return float(value) / MS_PER_SECOND
    except ValueError as error:
        raise BadRequestError(
            "the deadline is not a number", "send X-Deadline-Ms in ms"
        ) from error


def _parse_key(value):
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return value[len(BEARER_PREFIX) :].strip().decode("latin-1")


def _parse_prompt_parts(value):
    """
    Return the identifiers in a header ``ID:TOKENS,...``; the last may be empty.

    The last part belongs to the request alone.
    """
    parts = value.decode("latin-1").lower().split(",")
    return tuple(part.partition(":")[0].strip() for part in parts)


def _parse_token_usage(value):
    """
    Return the prompt tokens and the maximum of output tokens in a header ``IN,OUT``.

    Both are 0 without the header; raises `BadRequestError` if it cannot be read.
    """
    if value is None:
        return 0, 0
    try:
        prompt, _, output = value.partition(b",")
        return int(prompt), int(output or 0)
    except ValueError as error:
        raise BadRequestError(
            "the token usage is not two numbers", "send IN,OUT"
        ) from error
