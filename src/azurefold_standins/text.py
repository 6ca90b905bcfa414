"""The text that the stand-in engines generate, the same for the same prompt."""

import hashlib
from functools import lru_cache

__all__ = ["token", "whole_text"]

_WORDS = (
    " lot", " 回収", " shelf", " αίτηση", " store", " アレルギー", " deed", " will",
    " recall", " 出荷", " notary", " πληρεξούσιο", " stop", " sale", " é", " 🍱",
)  # fmt: skip


@lru_cache(maxsize=4_096)
def _seed(prompt: str) -> int:
    return int.from_bytes(hashlib.sha256(prompt.encode()).digest()[:8], "big")


def token(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    mixed = (_seed(prompt) + index * 2_654_435_761 + index * index * 40_503) >> 7
    return _WORDS[mixed % len(_WORDS)]


def whole_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to ``prompt``."""
    return "".join(token(prompt, index) for index in range(max_tokens))
