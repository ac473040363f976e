"""
tests.test_rules
~~~~~~~~~~~~~~~~

The rules file: all errors are reported, each with its line and a remedy.
"""

import pytest
from hypothesis import given, strategies as st

from bench.examples import kesariya, mfereji
from rosemarypath.errors import RulesError
from rosemarypath.rules import format_rule, get_kind_by_name, parse_line, parse_rules

GOOD = """
# a comment on a line of its own
zone z1 accepting=yes # asked by Asha
customer c rate=10 burst=100 weight=2 priority=0 # asked by Asha
backend e address=127.0.0.1:80 zone=z1 kind=engine serves=m # asked by Asha
backend s address=127.0.0.1:81 zone=z1 kind=service serves=ledger # asked by Asha
adapter a model=m version=1 # asked by Asha
route a adapter=a customer=c # asked by Asha
route orders service=ledger customer=c claim=yes # asked by Asha
weight-store w loads_per_second=4 in_flight=8 # asked by Asha
"""


def test_good_file_has_no_errors():
    rules, errors = parse_rules(GOOD)
    assert errors == []
    assert [rule.kind for rule in rules][:2] == ["zone", "customer"]


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("zone z", "asked by"),
        ("zone z # asked by", "asked by"),
        ("zone z # two # asked by A", "more than one"),
        ("zone # asked by A", "kind and a name"),
        ("zome z # asked by A", "unknown kind"),
        ("zone -z # asked by A", "not a name"),
        ("zone z accepting # asked by A", "not an option"),
        ("zone z colour=red # asked by A", "no option"),
        ("zone z accepting=yes accepting=no # asked by A", "twice"),
        ("zone z accepting=maybe # asked by A", "yes or no"),
        ("customer c rate=1 # asked by A", "burst= is missing"),
        ("customer c rate=-1 burst=1 # asked by A", "above 0"),
        ("customer c rate=nan burst=1 # asked by A", "above 0"),
        ("customer c rate=1 burst=1 priority=9 # asked by A", "priority class"),
        ("backend b address=x zone=z kind=engine serves=m # asked by A", "HOST:PORT"),
        ("backend b address=x:1 zone=z kind=car serves=m # asked by A", "engine or"),
        ("route r # asked by A", "exactly one"),
        ("route r adapter=a service=s # asked by A", "exactly one"),
        ("key k digest=12 customer=c # asked by A", "64 hexadecimal"),
        ("zone 'z # asked by A", "cannot split"),
    ],
)
def test_bad_lines_are_explained(line, words):
    with pytest.raises(RulesError, match=words) as caught:
        parse_line(line, "f", 7)
    assert str(caught.value).startswith("f:7: ")
    assert caught.value.remedy


def test_every_error_is_reported_with_its_line():
    zone = "zone y # asked by A"
    text = f"zone z\nroute r adapter=a # asked by A\n{zone}\n{zone}"
    _, errors = parse_rules(text, "f")
    assert [error.line for error in errors] == [1, 2, 4]


@pytest.mark.parametrize(
    "line",
    [
        "route q customer=nobody adapter=a # asked by A",
        "route q service=nothing # asked by A",
        "adapter b model=nothing version=1 # asked by A",
        "backend f address=h:1 zone=nowhere kind=engine serves=m # asked by A",
        f"key k customer=nobody digest={'0' * 64} # asked by A",
    ],
)
def test_undefined_names_are_errors(line):
    _, errors = parse_rules(GOOD + line)
    assert len(errors) == 1
    assert errors[0].line == len(GOOD.splitlines()) + 1


def test_two_keys_cannot_share_a_digest():
    keys = "".join(
        f"key k{n} customer=c digest={'0' * 64} # asked by A\n" for n in range(2)
    )
    _, errors = parse_rules(GOOD + keys)
    assert "same digest" in str(errors[0])


@given(st.text())
def test_any_text_is_parsed_without_an_exception(text):
    rules, errors = parse_rules(text)
    assert all(isinstance(error, RulesError) for error in errors)


@given(st.sampled_from(["yes", "no"]))
def test_canonical_lines_stay_the_same_when_parsed(accepting):
    line = format_rule("zone", "z", {"accepting": accepting}, "A B")
    assert parse_line(line).text == line


def test_kinds_are_looked_up_by_name():
    assert get_kind_by_name("zone").name == "zone"


@pytest.mark.parametrize("lines", [kesariya(), mfereji()])
def test_examples_have_no_errors(lines):
    rules, errors = parse_rules("\n".join(lines))
    assert errors == []
    assert sum(rule.kind == "adapter" for rule in rules) == 3000
    assert sum(rule.kind == "customer" for rule in rules) == 5
