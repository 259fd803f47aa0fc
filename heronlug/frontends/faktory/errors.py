"""Errors that are sent as the reply to a command; their texts are part of the wire protocol."""


class CommandError(Exception):
    """Raised if a command is invalid or cannot be executed; the session stays open."""


class InvalidArgumentError(CommandError):
    """Raised if the argument of a command is malformed."""


class UnknownCommandError(CommandError):
    """Raised if the command does not exist."""

    def __init__(self, name: str) -> None:
        super().__init__(f"unknown command {name[:20]}")


class WorkerRequiredError(CommandError):
    """Raised if a command that requires a worker comes on a session whose HELLO had no wid."""

    def __init__(self, command_names: str) -> None:
        super().__init__(f"{command_names} a HELLO with a wid")


class UnknownWorkerError(CommandError):
    """Raised if no worker with this wid is connected."""

    def __init__(self) -> None:
        super().__init__("no worker of that wid is connected")


class UnknownJobError(CommandError):
    """Raised if no job with this jid is known."""

    def __init__(self) -> None:
        super().__init__("no such job")


class UnknownParentError(CommandError):
    """Raised if a job depends on a parent jid that is not known."""

    def __init__(self, jid: str) -> None:
        super().__init__(f"after: {jid} is not known")


class JobEndedError(CommandError):
    """Raised if a pushed jid belongs to a job that has already ended without being served."""

    def __init__(self, jid: str, final: str) -> None:
        super().__init__(f"jid {jid} has had its final answer: {final}")


class JobTooLargeError(CommandError):
    """Raised if a job is larger than the size limit."""

    def __init__(self) -> None:
        super().__init__("a job holds 64 KiB at most")


class JobRejectedError(CommandError):
    """Raised if the core rejects a job because of overload."""

    def __init__(self) -> None:
        super().__init__("refused, come back later")


class TooManyJobsError(CommandError):
    """Raised if the maximum number of known jobs is reached."""

    def __init__(self) -> None:
        super().__init__("too many jobs are known, come back later")


class JobMemoryError(CommandError):
    """Raised if there is no memory for another job."""

    def __init__(self) -> None:
        super().__init__("no memory for another job, come back later")


class StoppingError(CommandError):
    """Raised if the dispatcher is stopping and accepts no new jobs."""

    def __init__(self) -> None:
        super().__init__("stopping, try another dispatcher")


class JobNotStoredError(CommandError):
    """Raised if a job is not accepted because the store could not write the job."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"it cannot be kept: {reason}")


class EndNotStoredError(CommandError):
    """Raised if the store could not write the end of a job."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"not kept: {reason}")


class SessionError(CommandError):
    """Base class of errors after which the connection is closed."""


class HelloRequiredError(SessionError):
    """Raised if the first command is not HELLO."""

    def __init__(self) -> None:
        super().__init__("say HELLO first")


class UnsupportedVersionError(SessionError):
    """Raised if the client uses an unsupported protocol version."""

    def __init__(self, supported: int) -> None:
        super().__init__(f"only protocol version {supported} is spoken here")


class InvalidPasswordError(SessionError):
    """Raised if the password hash in HELLO is wrong."""

    def __init__(self) -> None:
        super().__init__("invalid password")


class InvalidWorkerIdError(SessionError):
    """Raised if the wid is not a string of the accepted length."""

    def __init__(self, max_length: int) -> None:
        super().__init__(f"wid is no text of 1 to {max_length} characters")


class LineTooLongError(SessionError):
    """Raised if a command line is longer than the limit."""

    def __init__(self) -> None:
        super().__init__("line too long")


class TooManyCommandsError(SessionError):
    """Raised if too many commands wait on one connection."""

    def __init__(self) -> None:
        super().__init__("too many commands at once")


class SessionMemoryError(SessionError):
    """Raised if commands and replies of all connections need too much memory, and this connection holds most of it."""

    def __init__(self) -> None:
        super().__init__("no memory for the commands of this connection, come back later")


class TooManyConnectionsError(SessionError):
    """Raised if the maximum number of connections is reached."""

    def __init__(self) -> None:
        super().__init__("too many connections")


class InternalError(SessionError):
    """Raised if a command failed because of an error in the dispatcher."""

    def __init__(self) -> None:
        super().__init__("internal error")
