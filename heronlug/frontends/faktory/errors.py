"""Errors that are replied to a command; their texts go out on the wire."""


class CommandError(Exception):
    """A command that is not carried out; the session goes on."""


class InvalidArgumentError(CommandError):
    """The argument of a command does not have the form that it must have."""


class UnknownCommandError(CommandError):
    """The command does not exist."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown command {name[:20]}")


class WorkerRequiredError(CommandError):
    """The command is for workers, and the session has not named one."""

    def __init__(self, command_names: str) -> None:
        super().__init__(f"{command_names} a HELLO with a wid")


class UnknownWorkerError(CommandError):
    """No worker of this wid is connected."""

    def __init__(self) -> None:
        super().__init__("no worker of that wid is connected")


class UnknownJobError(CommandError):
    """No job of this jid is known."""

    def __init__(self) -> None:
        super().__init__("no such job")


class UnknownParentError(CommandError):
    """A job waits for one that nobody has pushed."""

    def __init__(self, jid: str) -> None:
        super().__init__(f"after: {jid} is not known")


class JobEndedError(CommandError):
    """A job is pushed again that has ended without being served."""

    def __init__(self, jid: str, final: str) -> None:
        super().__init__(f"jid {jid} has had its final answer: {final}")


class JobTooLargeError(CommandError):
    """A job is larger than the limit."""

    def __init__(self) -> None:
        super().__init__("a job holds 64 KiB at most")


class JobRejectedError(CommandError):
    """The core rejects a job in overload."""

    def __init__(self) -> None:
        super().__init__("refused, come back later")


class TooManyJobsError(CommandError):
    """The table of known jobs is full."""

    def __init__(self) -> None:
        super().__init__("too many jobs are known, come back later")


class StoppingError(CommandError):
    """The dispatcher accepts no more jobs."""

    def __init__(self) -> None:
        super().__init__("stopping, try another dispatcher")


class JobNotStoredError(CommandError):
    """A job could not be stored, and so was not accepted."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"it cannot be kept: {reason}")


class EndNotStoredError(CommandError):
    """The end of a job could not be stored."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"not kept: {reason}")


class SessionError(CommandError):
    """An error after which the connection is closed."""


class HelloRequiredError(SessionError):
    """The first command is not HELLO."""

    def __init__(self) -> None:
        super().__init__("say HELLO first")


class UnsupportedVersionError(SessionError):
    """The client speaks another version of the protocol."""

    def __init__(self, supported: int) -> None:
        super().__init__(f"only protocol version {supported} is spoken here")


class InvalidPasswordError(SessionError):
    """The client does not know the password."""

    def __init__(self) -> None:
        super().__init__("invalid password")


class InvalidWorkerIdError(SessionError):
    """The wid has the wrong form."""

    def __init__(self, max_length: int) -> None:
        super().__init__(f"wid is no text of 1 to {max_length} characters")


class LineTooLongError(SessionError):
    """A command is longer than the limit."""

    def __init__(self) -> None:
        super().__init__("line too long")


class TooManyCommandsError(SessionError):
    """Too many commands wait on one connection."""

    def __init__(self) -> None:
        super().__init__("too many commands at once")


class TooManyConnectionsError(SessionError):
    """The limit of connections is reached."""

    def __init__(self) -> None:
        super().__init__("too many connections")


class InternalError(SessionError):
    """A command has failed by a fault of the dispatcher."""

    def __init__(self) -> None:
        super().__init__("internal error")
