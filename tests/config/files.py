"""Provides a valid file and faults to put into that file, each with the problem that must be reported."""

from typing import NamedTuple

VALID_FILE = """\
log_level = "info"

[serve]
name = "t"
listen = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
memory_mb = 512
sockets = 1024

[site]
attempts_cap = 6
second_copies = true
may_cancel = true
dial_timeout_ms = 250
zones = ["a", "b"]
cold_from = 0.15

[[site.class]]
name = "rsvp"
effect = "repeatable"
aim_ms = 500
deadline_ms = 10000

[[site.class]]
name = "invite"
effect = "once"
aim_ms = 1000
deadline_ms = 20000

[[site.class]]
name = "print"
effect = "by_key"
aim_ms = 4000
deadline_ms = 25000
repeat_window_ms = 40000

[class.rsvp]
attempts = 4
attempt_timeout_ms = 2000
after_timeout = "again"
wait_ms = [100, 200, 400]
second_copy_after_ms = 800
give_up_ms = 9000

[class.invite]
attempts = 3
attempt_timeout_ms = 8000
after_timeout = "end"
wait_ms = [100, 400]
second_copy = false
give_up_ms = 20000

[class.print]
attempts = 2
attempt_timeout_ms = 9000
wait_ms = [500]
second_copy_after_ms = 5000
repeat_window_ms = 30000
give_up_ms = 24000

[[host]]
name = "h1"
address = "127.0.0.1:9081"
zone = "a"

[faktory]
listen = ""
"""


class ConfigFault(NamedTuple):
    """A change that makes the valid file invalid."""

    name: str  # unique name of the fault
    line: int  # line that is changed, starting at 1
    text: str  # new text of the line
    key: str  # key of the reported problem
    message_part: str  # text that the reported problem must contain
    reported_line: int = 0  # line of the reported problem; 0 if it is the changed line
    other_changes: tuple[tuple[int, str], ...] = ()  # further lines that change with the fault, and their new texts


HUGE_NUMBER = "9" * 400
RSVP_LINE, INVITE_LINE, PRINT_LINE = 37, 45, 53  # the lines of [class.rsvp], [class.invite] and [class.print]
WRONG_VALUES = {  # invalid values of each limit
    "attempts": ("0", "-1", "1.5", '"3"', "true", "[3]", "1001", HUGE_NUMBER, "nan"),
    "attempt_timeout_ms": ("0", "-5", '"2s"', "false", "inf", "nan", "1e300", HUGE_NUMBER, "[1]"),
    "after_timeout": ('"never"', "1", "true"),
    "wait_ms": ("100", '"100"', "[-1]", "[nan]", "[[1]]", "[true]", "[1e300]"),
    "second_copy_after_ms": ("0", "-1", '"x"', "inf", HUGE_NUMBER),
    "give_up_ms": ("0", "-1", "nan", "inf", "-inf", "86400001", '"20s"', HUGE_NUMBER),
}
LIMIT_LINES = {
    "attempts": RSVP_LINE + 1,
    "attempt_timeout_ms": RSVP_LINE + 2,
    "after_timeout": RSVP_LINE + 3,
    "wait_ms": RSVP_LINE + 4,
    "second_copy_after_ms": RSVP_LINE + 5,
    "give_up_ms": RSVP_LINE + 6,
}
WRONG_ELEMENTS = ("[-1]", "[[1]]", "[true]", "[1e300]")  # lists whose problem is reported at the element
TYPE_FAULTS = [
    ConfigFault(
        f"type {key} {value[:9]}",
        LIMIT_LINES[key],
        f"{key} = {value}",
        f"class.rsvp.{key}{'.0' * (value in WRONG_ELEMENTS)}",
        "not accepted, expected",
    )
    for key, values in WRONG_VALUES.items()
    for value in values
]
RULE_FAULTS = [
    ConfigFault("cap", RSVP_LINE + 1, "attempts = 7", "class.rsvp.attempts", "the site allows 6"),
    ConfigFault("cap by a wide margin", RSVP_LINE + 1, "attempts = 1000", "class.rsvp.attempts", "the site allows 6"),
    ConfigFault(
        "give up past site",
        RSVP_LINE + 6,
        "give_up_ms = 10001",
        "class.rsvp.give_up_ms",
        "past the deadline of the class",
    ),
    ConfigFault(
        "timeout past give up",
        PRINT_LINE + 2,
        "attempt_timeout_ms = 24001",
        "class.print.attempt_timeout_ms",
        "could take longer than its request",
    ),
    ConfigFault(
        "cancel",
        13,
        "may_cancel = false",
        "class.rsvp.attempt_timeout_ms",
        "may not be cancelled",
        RSVP_LINE + 2,
        ((INVITE_LINE + 2, ""), (INVITE_LINE + 3, ""), (PRINT_LINE + 2, "")),
    ),
    ConfigFault("again alone", RSVP_LINE + 2, "", "class.rsvp.after_timeout", "no attempt_timeout_ms", RSVP_LINE + 3),
    ConfigFault(
        "again for once", INVITE_LINE + 3, 'after_timeout = "again"', "class.invite.after_timeout", "must not run twice"
    ),
    ConfigFault("copy of once", INVITE_LINE + 5, "second_copy = true", "class.invite.second_copy", "no second copy"),
    ConfigFault(
        "timed copy of once",
        INVITE_LINE + 5,
        "second_copy_after_ms = 900",
        "class.invite.second_copy_after_ms",
        "must not run twice",
    ),
    ConfigFault(
        "copies at the site",
        12,
        "second_copies = false",
        "class.rsvp.second_copy_after_ms",
        "the site allows no second copies",
        RSVP_LINE + 5,
        ((PRINT_LINE + 4, ""),),
    ),
    ConfigFault(
        "copy denied and timed",
        PRINT_LINE + 4,
        "second_copy_after_ms = 5000\nsecond_copy = false",
        "class.print.second_copy_after_ms",
        "second_copy = false is also set",
    ),
    ConfigFault(
        "copy without attempt",
        PRINT_LINE + 1,
        "attempts = 1",
        "class.print.second_copy_after_ms",
        "only one attempt is allowed",
        PRINT_LINE + 4,
        ((PRINT_LINE + 3, ""),),
    ),
    ConfigFault(
        "copy past timeout",
        RSVP_LINE + 5,
        "second_copy_after_ms = 2000",
        "class.rsvp.second_copy_after_ms",
        "timed out by then",
    ),
    ConfigFault(
        "copy past give up",
        PRINT_LINE + 4,
        "second_copy_after_ms = 24000",
        "class.print.second_copy_after_ms",
        "given up by then",
        0,
        ((PRINT_LINE + 2, ""),),
    ),
    ConfigFault(
        "window without key",
        INVITE_LINE + 5,
        "repeat_window_ms = 100",
        "class.invite.repeat_window_ms",
        "no repeat window applies",
    ),
    ConfigFault(
        "window of repeatable",
        RSVP_LINE + 5,
        "repeat_window_ms = 100",
        "class.rsvp.repeat_window_ms",
        "no repeat window applies",
    ),
    ConfigFault(
        "window past servers",
        PRINT_LINE + 5,
        "repeat_window_ms = 40001",
        "class.print.repeat_window_ms",
        "a later repeat runs twice",
    ),
    ConfigFault(
        "window past use",
        PRINT_LINE + 5,
        "repeat_window_ms = 9000",
        "class.print.repeat_window_ms",
        "no longer allowed",
    ),
    ConfigFault("waits past attempts", RSVP_LINE + 4, "wait_ms = [1, 2, 3, 4]", "class.rsvp.wait_ms", "for 3 further"),
    ConfigFault("waits past give up", RSVP_LINE + 4, "wait_ms = [3000]", "class.rsvp.wait_ms", "add up to 9000"),
    ConfigFault(
        "times past give up",
        RSVP_LINE + 2,
        "attempt_timeout_ms = 2100",
        "class.rsvp.attempt_timeout_ms",
        "take 9100 ms",
    ),
    ConfigFault(
        "times of once past give up",
        INVITE_LINE + 2,
        "attempt_timeout_ms = 19500",
        "class.invite.attempt_timeout_ms",
        "take 20500 ms",
    ),
    ConfigFault(
        "times of keyed past give up",
        PRINT_LINE + 3,
        "wait_ms = [6001]",
        "class.print.attempt_timeout_ms",
        "take 24001",
        PRINT_LINE + 2,
    ),
]
FORM_FAULTS = [
    ConfigFault("unknown class", RSVP_LINE, "[class.rsvq]", "class.rsvq", "did you mean rsvp?"),
    ConfigFault("unknown limit", RSVP_LINE + 1, "attemps = 4", "class.rsvp.attemps", "did you mean attempts?"),
    ConfigFault(
        "unknown limit, nothing near", RSVP_LINE + 1, "zzz = 4", "class.rsvp.zzz", "expected one of attempts, "
    ),
    ConfigFault("table twice", INVITE_LINE, "[class.rsvp]", "", "TOML 1.0"),
    ConfigFault("key twice", RSVP_LINE + 2, "attempts = 5", "", "TOML 1.0"),
    ConfigFault("no value", RSVP_LINE + 1, "attempts =", "", "Invalid value"),
    ConfigFault("no bracket", RSVP_LINE, "[class.rsvp", "", "TOML 1.0"),
    ConfigFault("unterminated string", 4, 'name = "t', "", "TOML 1.0"),
    ConfigFault("unknown table", RSVP_LINE, "[clas.rsvp]", "clas", "unknown key"),
    ConfigFault("level", 1, 'log_level = "loud"', "log_level", "expected one of debug"),
    ConfigFault("level is a number", 1, "log_level = 3", "log_level", "is not a log level"),
    ConfigFault("faktory key", 67, 'lissten = ""', "faktory.lissten", "unknown key"),
    ConfigFault("faktory address", 67, 'listen = "here"', "faktory.listen", "not an address"),
    ConfigFault("faktory type", 67, "listen = 7419", "faktory.listen", "is not a string"),
    ConfigFault("faktory range", 67, "beat_timeout_s = -1", "faktory.beat_timeout_s", "out of range"),
    ConfigFault("plugin is not a list", 66, "[plugin]", "plugin", "not a list"),
    ConfigFault(
        "plugin without file",
        66,
        '[[plugin]]\nname = "p"\nfile = "none.wasm"\n[faktory]',
        "plugin.0.file",
        "No such",
        68,
    ),
    ConfigFault("listen missing", 5, "", "serve.listen", "missing", 3),
    ConfigFault("listen no address", 5, 'listen = "8081"', "serve.listen", "not an address"),
    ConfigFault("operators no address", 6, 'operators = "x:y"', "serve.operators", "not an address"),
    ConfigFault("memory", 7, "memory_mb = 8", "serve.memory_mb", "32 or more"),
    ConfigFault("sockets", 8, "sockets = 1.5", "serve.sockets", "descriptors"),
    ConfigFault("cap of the site", 11, "attempts_cap = 0", "site.attempts_cap", "1 to 64"),
    ConfigFault("dial", 14, "dial_timeout_ms = 0", "site.dial_timeout_ms", "milliseconds"),
    ConfigFault("zones", 15, "zones = []", "site.zones", "at least one name"),
    ConfigFault("zone is a number", 15, "zones = [1]", "site.zones.0", "at least one name"),
    ConfigFault("cold", 16, "cold_from = 2", "site.cold_from", "a share"),
    ConfigFault("unknown of the site", 16, "cold_form = 0.2", "site.cold_form", "did you mean cold_from?"),
    ConfigFault("effect", 20, 'effect = "twice"', "site.class.0.effect", '"repeatable", "by_key" or "once"'),
    ConfigFault("aim past deadline", 21, "aim_ms = 10001", "site.class.0.aim_ms", "past the deadline"),
    ConfigFault("deadline missing", 22, "", "site.class.0.deadline_ms", "missing", 18),
    ConfigFault(
        "class twice",
        22,
        'deadline_ms = 10000\n[[site.class]]\nname = "rsvp"\neffect = "once"\naim_ms = 1\n' "deadline_ms = 2",
        "site.class.1.name",
        "is used twice",
        24,
    ),
    ConfigFault(
        "class sets nothing",
        INVITE_LINE,
        "[class.invite]",
        "class.invite",
        "the table sets no limit",
        0,
        tuple((line, "") for line in range(INVITE_LINE + 1, INVITE_LINE + 7)),
    ),
    ConfigFault("host zone", 64, 'zone = "c"', "host.0.zone", "expected one of a, b"),
    ConfigFault("host address", 63, 'address = "h1"', "host.0.address", "not an address"),
    ConfigFault("host twice", 64, '[[host]]\nname = "h1"\naddress = "127.0.0.1:1"', "host.1.name", "is used twice", 65),
]
