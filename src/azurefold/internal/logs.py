"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import time

__all__ = ["configure_logging", "event_line", "line_formatter", "log_event"]

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/+~@%,-"
)
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r"})


def _quoted(value: object) -> str:
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return f'"{text.translate(_ESCAPES)}"'


def event_line(event: str, fields: dict[str, object]) -> str:
    """Return an event as key=value pairs, quoted where needed.

    Examples
    --------
    >>> event_line("refused", {"attempt": "a1", "why": "queue full"})
    'event=refused attempt=a1 why="queue full"'
    """
    pairs = [f"event={_quoted(event)}"]
    pairs += [f"{key}={_quoted(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields: object
) -> None:
    """Log one event."""
    if logger.isEnabledFor(level):
        logger.log(level, event_line(event, fields))


class _Formatter(logging.Formatter):
    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        head = (
            f"time={moment}.{int(record.msecs):03d}Z "
            f"level={record.levelname.lower()} process={self._process}"
        )
        message = record.getMessage()
        if not message.startswith("event="):
            message = event_line("message", {"text": message})
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            message += " " + event_line("", {"trace": trace}).split(" ", 1)[1]
        return f"{head} {message}"


def line_formatter(process: str) -> logging.Formatter:
    """Return what makes one line of each record.

    Parameters
    ----------
    process : str
        The name shown in each line.
    """
    return _Formatter(process)


def configure_logging(process: str, level: str = "INFO") -> None:
    """Send all logs of this process to standard error, a line an event.

    Parameters
    ----------
    process : str
        The name shown in each line.
    level : str, default="INFO"
        One of logging's level names.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(line_formatter(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
