"""Eras of a store that may come back from a copy some seconds old.

Versions are given out again in each era. A reader that goes on from a version of an
earlier one is told of other changes than those that it has missed, without a complaint
once the store has passed that version again.
"""

from dataclasses import dataclass

__all__ = ["StoreEra"]


@dataclass(slots=True)
class StoreEra:
    """The era that one reader's knowledge of the store is of.

    Parameters
    ----------
    number : int or None
        None until an answer has told it.
    """

    number: int | None = None

    def advance_to(self, told: int | None) -> bool:
        """Whether an answer is of a later era; it is the reader's from now on.

        An answer that tells no era is none of a later one.

        Examples
        --------
        >>> era = StoreEra()
        >>> [era.advance_to(told) for told in (3, None, 3, 4, 4, 2)]
        [False, False, False, True, False, False]
        """
        if told is None or (self.number is not None and told <= self.number):
            return False
        is_first, self.number = self.number is None, told
        return not is_first
