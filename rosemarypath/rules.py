"""
rosemarypath.rules
~~~~~~~~~~~~~~~~~~

Parser of the rules file: one rule a line, with a comment naming who asked for it.
"""

import re
import shlex
from dataclasses import dataclass

from rosemarypath.backend import ENGINE, SERVICE, BackEnd
from rosemarypath.customer import Customer, Key
from rosemarypath.errors import RulesError
from rosemarypath.loadpermits import WeightStoreLimits
from rosemarypath.registry import Registry
from rosemarypath.route import Adapter, Route
from rosemarypath.zone import Zone

__all__ = ["Rule", "format_rule", "get_kind_by_name", "parse_line", "parse_rules"]

ASKED_BY = re.compile(r"#\s*asked by\s+(?P<who>\S.*?)\s*$")
NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:-]*$")
ADDRESS = re.compile(r"^[A-Za-z0-9.-]+:\d{1,5}$")
DIGEST = re.compile(r"^[0-9a-f]{64}$")

rule_kind = Registry()


@dataclass(frozen=True)
class Rule:
    """
    One parsed rule.

    `kind` and `name` identify it, `item` is the object that it defines, `asked_by` the
    person who asked for it, `text` the canonical line, and `line` the line number in
    the file, counted from 1.
    """

    kind: str
    name: str
    item: object
    asked_by: str
    text: str
    line: int = 0


def get_kind_by_name(name):
    """Return the `RuleKind` called `name`; raises `KeyError` if there is none."""
    return rule_kind[name]


def _parse_positive(text):
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError("a number above 0")
    return value


def _parse_count(text):
    if not text.isdigit() or int(text) < 1:
        raise ValueError("a whole number from 1")
    return int(text)


def _parse_priority(text):
    if text not in {"0", "1", "2", "3"}:
        raise ValueError("a priority class from 0 to 3")
    return int(text)


def _parse_yes_no(text):
    if text not in {"yes", "no"}:
        raise ValueError("yes or no")
    return text == "yes"


def _parse_name(text):
    if not NAME.match(text):
        raise ValueError("a name of letters, digits and . _ : -")
    return text


def _parse_address(text):
    if not ADDRESS.match(text) or int(text.rsplit(":", 1)[1]) > 65535:
        raise ValueError("HOST:PORT")
    return text


def _parse_digest(text):
    if not DIGEST.match(text):
        raise ValueError("64 hexadecimal digits, as printed by 'key issue'")
    return text


def _parse_back_end_kind(text):
    if text not in {ENGINE, SERVICE}:
        raise ValueError("engine or service")
    return text


class RuleKind:
    """
    Base class of the kinds of rules.

    `options` maps option names to converters, `required` lists the options without a
    default, and `factory` is the class of the object. The docstring is the syntax, as
    shown in error messages.
    """

    name = ""
    options = {}
    required = ()
    factory = None

    @classmethod
    def build(cls, name, values):
        """Build the object called `name`; `values` are the converted options."""
        return cls.factory(name=name, **values)


@rule_kind("zone")
class ZoneRule(RuleKind):
    """``zone NAME accepting=yes|no region=NAME``"""

    options = {"accepting": _parse_yes_no, "region": _parse_name}
    factory = Zone


@rule_kind("customer")
class CustomerRule(RuleKind):
    """``customer NAME rate=TOKENS/S burst=TOKENS weight=W priority=0..3``"""

    options = {
        "rate": _parse_positive,
        "burst": _parse_positive,
        "weight": _parse_positive,
        "priority": _parse_priority,
    }
    required = ("rate", "burst")
    factory = Customer


@rule_kind("key")
class KeyRule(RuleKind):
    """``key NAME digest=SHA256 customer=NAME withdrawn=yes|no``"""

    options = {
        "digest": _parse_digest,
        "customer": _parse_name,
        "withdrawn": _parse_yes_no,
    }
    required = ("digest", "customer")

    @classmethod
    def build(cls, name, values):
        return Key(**values)


@rule_kind("adapter")
class AdapterRule(RuleKind):
    """``adapter NAME model=MODEL version=VERSION``"""

    options = {"model": _parse_name, "version": _parse_name}
    required = ("model", "version")
    factory = Adapter


@rule_kind("route")
class RouteRule(RuleKind):
    """``route NAME adapter=..|service=.. customer=.. idempotent=.. deadline=S``"""

    options = {
        "adapter": _parse_name,
        "service": _parse_name,
        "customer": _parse_name,
        "idempotent": _parse_yes_no,
        "claim": _parse_yes_no,
        "deadline": _parse_positive,
    }
    factory = Route

    @classmethod
    def build(cls, name, values):
        if ("adapter" in values) == ("service" in values):
            raise ValueError("exactly one of adapter= and service=")
        return Route(name=name, **values)


@rule_kind("backend")
class BackEndRule(RuleKind):
    """``backend NAME address=HOST:PORT zone=NAME kind=engine|service serves=NAME``"""

    options = {
        "address": _parse_address,
        "zone": _parse_name,
        "kind": _parse_back_end_kind,
        "serves": _parse_name,
        "capacity": _parse_count,
        "cold_capacity": _parse_count,
        "slots": _parse_count,
        "fences": _parse_yes_no,
    }
    required = ("address", "zone", "kind", "serves")
    factory = BackEnd


@rule_kind("weight-store")
class WeightStoreRule(RuleKind):
    """``weight-store NAME loads_per_second=N in_flight=N``"""

    options = {"loads_per_second": _parse_positive, "in_flight": _parse_count}
    required = ("loads_per_second", "in_flight")
    factory = WeightStoreLimits


def parse_line(text, filename="-", line=0):
    """
    Parse one line into a `Rule`; raises `RulesError`.

    >>> parse_line("zone kutch-1 # asked by Asha").item.name
    'kutch-1'
    """

    def fail(message, remedy):
        raise RulesError(message, remedy, filename, line)

    comment = ASKED_BY.search(text)
    if comment is None:
        fail("no comment '# asked by NAME'", "end the line with '# asked by NAME'")
    body = text[: comment.start()]
    if "#" in body:
        fail("more than one '#'", "keep one comment, '# asked by NAME'")
    try:
        words = shlex.split(body)
    except ValueError as error:
        fail(f"cannot split the line ({error})", "close the quotation mark")
    if len(words) < 2:
        fail("a rule needs a kind and a name", "write 'KIND NAME option=value ...'")
    kind_name, name, *options = words
    if kind_name not in rule_kind:
        known = ", ".join(rule_kind.names)
        fail(f"unknown kind of rule '{kind_name}'", f"use one of: {known}")
    if not NAME.match(name):
        fail(f"'{name}' is not a name", "use letters, digits and . _ : -")
    kind = rule_kind[kind_name]
    values = _parse_options(kind, options, fail)
    for option in kind.required:
        if option not in values:
            fail(f"{option}= is missing", f"write it as in {kind.__doc__}")
    try:
        item = kind.build(name, values)
    except ValueError as error:
        fail("invalid combination of options", f"give {error}")
    who = comment["who"]
    canonical = " ".join([kind_name, name, *sorted(options), "# asked by", who])
    return Rule(kind_name, name, item, who, canonical, line)


def _parse_options(kind, words, fail):
    """Convert the words ``option=value`` of one line to a dict."""
    values = {}
    for word in words:
        option, separator, value = word.partition("=")
        if not separator:
            fail(f"'{word}' is not an option", "write option=value")
        if option not in kind.options:
            known = ", ".join(kind.options)
            fail(f"{kind.name} has no option '{option}'", f"use one of: {known}")
        if option in values:
            fail(f"{option}= is given twice", "remove one of them")
        try:
            values[option] = kind.options[option](value)
        except ValueError as error:
            fail(f"invalid value: {option}={value}", f"give {error}")
    return values


def parse_rules(text, filename="-"):
    """
    Parse the text of a rules file; return ``(rules, errors)`` with all errors.

    Blank lines and lines that start with ``#`` are skipped.
    """
    rules = []
    errors = []
    first_lines = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        try:
            rule = parse_line(line, filename, number)
        except RulesError as error:
            errors.append(error)
            continue
        identity = (rule.kind, rule.name)
        if identity in first_lines:
            errors.append(
                RulesError(
                    f"{rule.kind} {rule.name} is also defined on line "
                    f"{first_lines[identity]}",
                    "remove one of them",
                    filename,
                    number,
                )
            )
            continue
        first_lines[identity] = number
        rules.append(rule)
    errors.extend(_check_references(rules, filename))
    errors.sort(key=lambda error: error.line)
    return rules, errors


def _check_references(rules, filename):
    """Return errors for undefined names and for digests used by two keys."""
    names = {}
    for rule in rules:
        names.setdefault(rule.kind, set()).add(rule.name)
    back_ends = [rule.item for rule in rules if rule.kind == "backend"]
    served = {(item.kind, item.serves) for item in back_ends}
    digests = {}
    errors = []

    def require(rule, kind, name):
        if name and name not in names.get(kind, ()):
            errors.append(
                RulesError(
                    f"there is no {kind} '{name}'",
                    f"add a line '{kind} {name} ...' or correct the name",
                    filename,
                    rule.line,
                )
            )

    for rule in rules:
        item = rule.item
        if rule.kind == "key":
            require(rule, "customer", item.customer)
            if digests.setdefault(item.digest, rule.name) != rule.name:
                errors.append(
                    RulesError(
                        f"key {digests[item.digest]} has the same digest",
                        "issue a key of its own with 'rosemarypath key issue'",
                        filename,
                        rule.line,
                    )
                )
        elif rule.kind == "route":
            require(rule, "customer", item.customer)
            require(rule, "adapter", item.adapter)
            if item.service and (SERVICE, item.service) not in served:
                errors.append(
                    RulesError(
                        f"no back end serves '{item.service}'",
                        f"add a backend with kind=service serves={item.service}",
                        filename,
                        rule.line,
                    )
                )
        elif rule.kind == "adapter" and (ENGINE, item.model) not in served:
            errors.append(
                RulesError(
                    f"no back end serves the model '{item.model}'",
                    f"add a backend with kind=engine serves={item.model}",
                    filename,
                    rule.line,
                )
            )
        elif rule.kind == "backend":
            require(rule, "zone", item.zone)
    return errors


def format_rule(kind, name, options, asked_by):
    """
    Format a rule as a canonical line, its options sorted.

    >>> format_rule("zone", "kutch-1", {"accepting": "no"}, "Asha")
    'zone kutch-1 accepting=no # asked by Asha'
    """
    words = [f"{option}={value}" for option, value in sorted(options.items())]
    return " ".join([kind, name, *words, "# asked by", asked_by])
