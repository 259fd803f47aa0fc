"""One good file, and the faults that are put into it: what is written where, and what has to be told of it."""

from typing import NamedTuple

GOOD = """\
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


class Wrong(NamedTuple):
    """A fault: its name, the line that it stands in, the text there, and what the one fault must say."""

    name: str
    line: int
    text: str
    key: str
    says: str
    told_at: int = 0  # the line that is told, where it is not the same
    also: tuple[tuple[int, str], ...] = ()  # further lines that have to change with it


HUGE = "9" * 400
A, B, C = 37, 45, 53  # the lines of [class.rsvp], [class.invite] and [class.print]
TYPES = {  # for each limit: what is no value of it
    "attempts": ("0", "-1", "1.5", '"3"', "true", "[3]", "1001", HUGE, "nan"),
    "attempt_timeout_ms": ("0", "-5", '"2s"', "false", "inf", "nan", "1e300", HUGE, "[1]"),
    "after_timeout": ('"never"', "1", "true"),
    "wait_ms": ("100", '"100"', "[-1]", "[nan]", "[[1]]", "[true]", "[1e300]"),
    "second_copy_after_ms": ("0", "-1", '"x"', "inf", HUGE),
    "give_up_ms": ("0", "-1", "nan", "inf", "-inf", "86400001", '"20s"', HUGE),
}
AT = {
    "attempts": A + 1,
    "attempt_timeout_ms": A + 2,
    "after_timeout": A + 3,
    "wait_ms": A + 4,
    "second_copy_after_ms": A + 5,
    "give_up_ms": A + 6,
}
ELEMENTS = ("[-1]", "[[1]]", "[true]", "[1e300]")  # of these lists the element is told
KINDS = [
    Wrong(
        f"type {key} {value[:9]}",
        AT[key],
        f"{key} = {value}",
        f"class.rsvp.{key}{'.0' * (value in ELEMENTS)}",
        "not accepted, expected",
    )
    for key, values in TYPES.items()
    for value in values
]
RULES = [
    Wrong("cap", A + 1, "attempts = 7", "class.rsvp.attempts", "the site allows 6"),
    Wrong("cap by far", A + 1, "attempts = 1000", "class.rsvp.attempts", "the site allows 6"),
    Wrong("give up past site", A + 6, "give_up_ms = 10001", "class.rsvp.give_up_ms", "past the class's deadline"),
    Wrong(
        "timeout past give up",
        C + 2,
        "attempt_timeout_ms = 24001",
        "class.print.attempt_timeout_ms",
        "waited for longer than its job",
    ),
    Wrong(
        "cancel",
        13,
        "may_cancel = false",
        "class.rsvp.attempt_timeout_ms",
        "may not be cancelled",
        A + 2,
        ((B + 2, ""), (B + 3, ""), (C + 2, "")),
    ),
    Wrong("again alone", A + 2, "", "class.rsvp.after_timeout", "no attempt_timeout_ms", A + 3),
    Wrong("again for once", B + 3, 'after_timeout = "again"', "class.invite.after_timeout", "must not run twice"),
    Wrong("copy of once", B + 5, "second_copy = true", "class.invite.second_copy", "no second copy"),
    Wrong(
        "timed copy of once",
        B + 5,
        "second_copy_after_ms = 900",
        "class.invite.second_copy_after_ms",
        "must not run twice",
    ),
    Wrong(
        "copies at the site",
        12,
        "second_copies = false",
        "class.rsvp.second_copy_after_ms",
        "the site allows no second copies",
        A + 5,
        ((C + 4, ""),),
    ),
    Wrong(
        "copy denied and timed",
        C + 4,
        "second_copy_after_ms = 5000\nsecond_copy = false",
        "class.print.second_copy_after_ms",
        "second_copy = false stands beside it",
    ),
    Wrong(
        "copy without attempt",
        C + 1,
        "attempts = 1",
        "class.print.second_copy_after_ms",
        "there is only one",
        C + 4,
        ((C + 3, ""),),
    ),
    Wrong(
        "copy past timeout",
        A + 5,
        "second_copy_after_ms = 2000",
        "class.rsvp.second_copy_after_ms",
        "timed out by then",
    ),
    Wrong(
        "copy past give up",
        C + 4,
        "second_copy_after_ms = 24000",
        "class.print.second_copy_after_ms",
        "given up by then",
        0,
        ((C + 2, ""),),
    ),
    Wrong("window without key", B + 5, "repeat_window_ms = 100", "class.invite.repeat_window_ms", "have no window"),
    Wrong("window of repeatable", A + 5, "repeat_window_ms = 100", "class.rsvp.repeat_window_ms", "have no window"),
    Wrong("window past hosts", C + 5, "repeat_window_ms = 40001", "class.print.repeat_window_ms", "one after that"),
    Wrong("window past use", C + 5, "repeat_window_ms = 9000", "class.print.repeat_window_ms", "allowed no more"),
    Wrong("waits past attempts", A + 4, "wait_ms = [1, 2, 3, 4]", "class.rsvp.wait_ms", "before 3 further"),
    Wrong("waits past give up", A + 4, "wait_ms = [3000]", "class.rsvp.wait_ms", "add up to 9000"),
    Wrong("times past give up", A + 2, "attempt_timeout_ms = 2100", "class.rsvp.attempt_timeout_ms", "take 9100 ms"),
    Wrong(
        "times of once past give up",
        B + 2,
        "attempt_timeout_ms = 19500",
        "class.invite.attempt_timeout_ms",
        "take 20500 ms",
    ),
    Wrong(
        "times of keyed past give up", C + 3, "wait_ms = [6001]", "class.print.attempt_timeout_ms", "take 24001", C + 2
    ),
]
FORMS = [
    Wrong("unknown class", A, "[class.rsvq]", "class.rsvq", "perhaps rsvp"),
    Wrong("unknown limit", A + 1, "attemps = 4", "class.rsvp.attemps", "perhaps attempts"),
    Wrong("unknown limit, nothing near", A + 1, "zzz = 4", "class.rsvp.zzz", "one of attempts, "),
    Wrong("table twice", B, "[class.rsvp]", "", "TOML 1.0"),
    Wrong("key twice", A + 2, "attempts = 5", "", "TOML 1.0"),
    Wrong("no value", A + 1, "attempts =", "", "Invalid value"),
    Wrong("no bracket", A, "[class.rsvp", "", "TOML 1.0"),
    Wrong("half a text", 4, 'name = "t', "", "TOML 1.0"),
    Wrong("unknown table", A, "[clas.rsvp]", "clas", "unknown key"),
    Wrong("level", 1, 'log_level = "loud"', "log_level", "one of debug"),
    Wrong("level no text", 1, "log_level = 3", "log_level", "is no level"),
    Wrong("faktory key", 67, 'lissten = ""', "faktory.lissten", "unknown key"),
    Wrong("faktory address", 67, 'listen = "here"', "faktory.listen", "no address"),
    Wrong("faktory type", 67, "listen = 7419", "faktory.listen", "is no text"),
    Wrong("faktory range", 67, "beat_timeout_s = -1", "faktory.beat_timeout_s", "out of range"),
    Wrong("plugin no list", 66, "[plugin]", "plugin", "not a list"),
    Wrong(
        "plugin without file",
        66,
        '[[plugin]]\nname = "p"\nfile = "none.wasm"\n[faktory]',
        "plugin.0.file",
        "No such",
        68,
    ),
    Wrong("listen missing", 5, "", "serve.listen", "missing", 3),
    Wrong("listen no address", 5, 'listen = "8081"', "serve.listen", "no address"),
    Wrong("operators no address", 6, 'operators = "x:y"', "serve.operators", "no address"),
    Wrong("memory", 7, "memory_mb = 8", "serve.memory_mb", "32 or more"),
    Wrong("sockets", 8, "sockets = 1.5", "serve.sockets", "descriptors"),
    Wrong("cap of the site", 11, "attempts_cap = 0", "site.attempts_cap", "1 to 64"),
    Wrong("dial", 14, "dial_timeout_ms = 0", "site.dial_timeout_ms", "milliseconds"),
    Wrong("zones", 15, "zones = []", "site.zones", "at least one name"),
    Wrong("zone no text", 15, "zones = [1]", "site.zones.0", "at least one name"),
    Wrong("cold", 16, "cold_from = 2", "site.cold_from", "a share"),
    Wrong("unknown of the site", 16, "cold_form = 0.2", "site.cold_form", "perhaps cold_from"),
    Wrong("effect", 20, 'effect = "twice"', "site.class.0.effect", '"repeatable", "by_key" or "once"'),
    Wrong("aim past deadline", 21, "aim_ms = 10001", "site.class.0.aim_ms", "past the deadline"),
    Wrong("deadline missing", 22, "", "site.class.0.deadline_ms", "missing", 18),
    Wrong(
        "class twice",
        22,
        'deadline_ms = 10000\n[[site.class]]\nname = "rsvp"\neffect = "once"\naim_ms = 1\n' "deadline_ms = 2",
        "site.class.1.name",
        "there twice",
        24,
    ),
    Wrong(
        "class sets nothing",
        B,
        "[class.invite]",
        "class.invite",
        "it sets nothing",
        0,
        tuple((line, "") for line in range(B + 1, B + 7)),
    ),
    Wrong("host zone", 64, 'zone = "c"', "host.0.zone", "one of a, b"),
    Wrong("host address", 63, 'address = "h1"', "host.0.address", "no address"),
    Wrong("host twice", 64, '[[host]]\nname = "h1"\naddress = "127.0.0.1:1"', "host.1.name", "there twice", 65),
]
