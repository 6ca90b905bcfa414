"""Frames of an answer, and the assembler that removes duplicates from them.

An answer is sent as frames that carry the attempt they belong to and the
offset, in characters, at which their text starts. The last frame carries the
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
    """Part of the text of one attempt's answer.

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
    """Last frame of an answer.

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
    """Why a frame was dropped."""

    FOREIGN = "foreign"
    DUPLICATE = "duplicate"
    AFTER_END = "after_end"


@dataclass(frozen=True, slots=True)
class NewText:
    """Text that was not yet forwarded to the caller, starting at ``offset``."""

    offset: int
    text: str


@dataclass(frozen=True, slots=True)
class FrameDropped:
    """The frame was dropped."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class TextMissing:
    """Text before this frame is missing; resume from ``resume_from``."""

    resume_from: int


@dataclass(frozen=True, slots=True)
class AnswerComplete:
    """The whole answer was forwarded, and its length and digest match."""

    total: int


@dataclass(frozen=True, slots=True)
class AnswerCorrupted:
    """The forwarded text differs from the endpoint's answer."""

    detail: str


def text_digest(text: str) -> str:
    """Return the digest that an :class:`EndFrame` carries for ``text``."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass(slots=True)
class AnswerAssembler:
    """Assemble one answer from frames that may be repeated or out of order.

    Only text at the next offset of this attempt is forwarded. After a resume,
    frames of the old connection may still arrive; forwarded, they would repeat
    a passage. The digest would reveal that only after the caller had the text.

    Parameters
    ----------
    attempt_id : str
        The attempt whose frames are accepted.
    next_offset : int, default=0
        Characters already forwarded to the caller.
    can_verify_digest : bool, default=True
        False after a resume by a caller, where the text before
        ``next_offset`` is not available and only the length can be checked.
    """

    attempt_id: str
    next_offset: int = 0
    can_verify_digest: bool = True
    _hasher: "hashlib._Hash" = field(default_factory=hashlib.sha256)
    _is_finished: bool = False

    def accept(
        self, frame: Frame | EndFrame
    ) -> NewText | FrameDropped | TextMissing | AnswerComplete | AnswerCorrupted:
        """Process one frame and return the result."""
        if frame.attempt_id != self.attempt_id:
            return FrameDropped(DropReason.FOREIGN)
        if self._is_finished:
            return FrameDropped(DropReason.AFTER_END)
        match frame:
            case Frame():
                return self._accept_text(frame)
            case EndFrame():
                return self._accept_end(frame)

    def _accept_text(self, frame: Frame) -> NewText | FrameDropped | TextMissing:
        if frame.offset > self.next_offset:
            return TextMissing(self.next_offset)
        overlap = self.next_offset - frame.offset
        new_text = frame.text[overlap:] if overlap else frame.text
        if not new_text:
            return FrameDropped(DropReason.DUPLICATE)
        offset = self.next_offset
        self._hasher.update(new_text.encode())
        self.next_offset += len(new_text)
        return NewText(offset, new_text)

    def _accept_end(
        self, end: EndFrame
    ) -> TextMissing | AnswerComplete | AnswerCorrupted:
        if end.total > self.next_offset:
            return TextMissing(self.next_offset)
        if end.total < self.next_offset:
            return AnswerCorrupted(
                f"{self.next_offset} characters received, {end.total} sent"
            )
        if self.can_verify_digest and self._hasher.hexdigest() != end.digest:
            return AnswerCorrupted("the digest of the text does not match")
        self._is_finished = True
        return AnswerComplete(end.total)
