"""Frames of an answer, and the assembler that passes each part on once.

An answer travels as frames that carry the attempt they belong to and the
offset, in characters, at which their text starts. The last one carries the
length and the digest of the whole text.
"""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "AnswerAssembler",
    "FrameDropped",
    "DropReason",
    "EndFrame",
    "AnswerComplete",
    "Frame",
    "TextMissing",
    "NewText",
    "AnswerCorrupted",
    "text_digest",
]


@dataclass(frozen=True, slots=True)
class Frame:
    """A run of text of one attempt.

    Parameters
    ----------
    attempt_id : str
    offset : int
        Characters of the answer before this frame.
    text : str
    """

    attempt_id: str
    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class EndFrame:
    """The end of an answer.

    Parameters
    ----------
    attempt_id : str
    total : int
        Length of the whole answer in characters.
    digest : str
        :func:`text_digest` of the whole answer.
    """

    attempt_id: str
    total: int
    digest: str


class DropReason(StrEnum):
    """Why a frame was not passed on."""

    FOREIGN = "foreign"
    DUPLICATE = "duplicate"
    AFTER_END = "after_end"


@dataclass(frozen=True, slots=True)
class NewText:
    """Text that the caller has not had yet, starting at ``offset``."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class FrameDropped:
    """A frame that was not passed on."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class TextMissing:
    """Text before this frame is missing; resume from ``resume_from``."""

    resume_from: int


@dataclass(frozen=True, slots=True)
class AnswerComplete:
    """The whole answer was passed on and its digest fits."""

    total: int


@dataclass(frozen=True, slots=True)
class AnswerCorrupted:
    """What was passed on is not the answer that the endpoint gave."""

    detail: str


def text_digest(text: str) -> str:
    """Return the digest that an :class:`EndFrame` carries for ``text``."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class AnswerAssembler:
    """Turn frames in any order and number into one answer.

    Only the next offset of the own attempt is passed on. What would go wrong
    without it: after a resume the old connection's frames may still arrive,
    and a caller would read a passage twice; one would notice by a digest that
    does not fit, but only after the caller had the text.

    Parameters
    ----------
    attempt_id : str
        The attempt whose frames are wanted.
    next_offset : int, default=0
        Characters that the caller already has.
    can_verify_digest : bool, default=True
        False after a resume by a caller, where the text before
        ``next_offset`` is not here and only the length can be checked.
    """

    attempt_id: str
    next_offset: int = 0
    can_verify_digest: bool = True
    _sha: "hashlib._Hash" = field(default_factory=hashlib.sha256)
    _finished: bool = False

    def accept(
        self, frame: Frame | EndFrame
    ) -> NewText | FrameDropped | TextMissing | AnswerComplete | AnswerCorrupted:
        """Take one frame and say what to do with it."""
        if frame.attempt_id != self.attempt_id:
            return FrameDropped(DropReason.FOREIGN)
        if self._finished:
            return FrameDropped(DropReason.AFTER_END)
        match frame:
            case Frame():
                return self._accept_text(frame)
            case EndFrame():
                return self._accept_end(frame)

    def _accept_text(self, frame: Frame) -> NewText | FrameDropped | TextMissing:
        if frame.offset > self.next_offset:
            return TextMissing(self.next_offset)
        known = self.next_offset - frame.offset
        new = frame.text[known:] if known else frame.text
        if not new:
            return FrameDropped(DropReason.DUPLICATE)
        offset = self.next_offset
        self._sha.update(new.encode())
        self.next_offset += len(new)
        return NewText(offset, new)

    def _accept_end(
        self, end: EndFrame
    ) -> TextMissing | AnswerComplete | AnswerCorrupted:
        if end.total > self.next_offset:
            return TextMissing(self.next_offset)
        if end.total < self.next_offset:
            return AnswerCorrupted(
                f"{self.next_offset} characters came, {end.total} were sent"
            )
        if self.can_verify_digest and self._sha.hexdigest() != end.digest:
            return AnswerCorrupted("the digest of the text does not fit")
        self._finished = True
        return AnswerComplete(end.total)
