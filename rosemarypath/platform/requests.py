"""
rosemarypath.platform.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Headers of callers' requests and of back ends' answers, decoded and written.
"""

from rosemarypath.demand import AnswerHead, BadRequestError, Demand

__all__ = [
    "decode_answer_head",
    "decode_demand",
    "forwarded_headers",
    "refusal_headers",
    "request_id",
]

REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
LAST_EVENT = b"last-event-id"
MODEL = b"x-model"
TOKENS = b"x-token-usage"
KEY_SCHEME = b"bearer "
SIGNATURE = b"x-response-signature"
NOT_RUN = b"x-not-executed"
INSTANCE = b"x-instance-id"
MISDIRECTED = 421
PRIORITY_MOST = 9
DEFAULT_DEADLINE = 60.0  # seconds, where a caller names none
MILLISECONDS = 1000.0

# Headers that concern one connection, and those that only the system sets.
DROPPED = frozenset(
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


def request_id(headers):
    """Return the identifier of a caller's request, empty where it has none."""
    return _request_id(dict(headers))


def decode_demand(headers):
    """
    Return the `Demand` that a caller's headers (lower-case names) express.

    Raises `BadRequestError` when one of them cannot be read.
    """
    values = dict(headers)
    request = _request_id(values)
    if not request:
        raise BadRequestError("the request has no id", "send X-Attempt-Id")
    model, _, adapter = values.get(MODEL, b"").decode("latin-1").partition("/")
    prompt, output = _tokens(values.get(TOKENS))
    return Demand(
        request=request,
        deadline=_deadline(values.get(DEADLINE)),
        key=_key(values.get(b"authorization", b"")),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        last_event=values.get(LAST_EVENT, b""),
    )


def forwarded_headers(headers, demand, back_end, customer, priority, left, last_event):
    """
    Return the header pairs to send to `back_end`.

    `left` is the time left in seconds, `last_event` where a stream goes on.
    """
    dropped = DROPPED | _listed_in_connection(headers)
    pairs = [(name, value) for name, value in headers if name not in dropped]
    pairs.append((b"X-Deadline-Ms", b"%d" % max(1, int(left * MILLISECONDS))))
    pairs.append((b"X-Expect-Instance", back_end.name.encode()))
    if customer:
        pairs.append((b"X-Tenant", customer.encode()))
    if demand.model:
        level = min(max(priority, 0), PRIORITY_MOST)
        pairs.append((b"X-Request-Priority", b"%d" % level))
    if last_event:
        pairs.append((b"Last-Event-Id", last_event))
    return pairs


def decode_answer_head(reply, request, back_end):
    """Return the `AnswerHead` of the reply of `back_end` to `request`."""
    values = dict(reply.headers)
    answered = values.get(REQUEST_ID)
    has_not_run = NOT_RUN in values or reply.status == MISDIRECTED
    if answered is None:
        is_ours = reply.status >= 300
    else:
        is_ours = answered.decode("latin-1") == request
    dropped = DROPPED | _listed_in_connection(reply.headers)
    return AnswerHead(
        status=reply.status,
        headers=tuple(pair for pair in reply.headers if pair[0] not in dropped),
        is_ours=is_ours,
        is_signed=SIGNATURE in values,
        has_not_run=has_not_run,
        is_other_back_end=reply.status == MISDIRECTED
        and values.get(INSTANCE, b"").decode("latin-1") not in ("", back_end.name),
    )


def refusal_headers(request):
    """Return the headers of an answer of our own to `request`."""
    return [(b"X-Attempt-Id", request.encode("latin-1"))] if request else []


def _request_id(values):
    return values.get(REQUEST_ID, b"").decode("latin-1")


def _listed_in_connection(headers):
    listed = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    return listed


def _deadline(value):
    if value is None:
        return DEFAULT_DEADLINE
    try:
        return float(value) / MILLISECONDS
    except ValueError as error:
        raise BadRequestError(
            "the deadline is not a number", "send X-Deadline-Ms in ms"
        ) from error


def _key(value):
    if value[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return ""
    return value[len(KEY_SCHEME) :].strip().decode("latin-1")


def _tokens(value):
    """Return prompt tokens and the most output tokens; zeros where not said."""
    if value is None:
        return 0, 0
    try:
        prompt, _, output = value.partition(b",")
        return int(prompt), int(output or 0)
    except ValueError as error:
        raise BadRequestError(
            "the token usage is not two numbers", "send IN,OUT"
        ) from error
