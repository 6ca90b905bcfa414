"""Eras of a store that may be restored from a copy some seconds old.

The store assigns the same versions again in each era. A reader that continues from a
version of an earlier era would receive other changes than those it has missed. Once the
store has passed that version again, it reports no error.
"""

from dataclasses import dataclass

__all__ = ["StoreEra"]


@dataclass(slots=True)
class StoreEra:
    """The era that one reader's data of the store belongs to.

    Parameters
    ----------
    number : int or None
        None until the first answer that contains an era.
    """

    number: int | None = None

    def advance_to(self, era: int | None) -> bool:
        """Adopt the era of an answer; return whether an earlier one has ended.

        An answer without an era is assumed to belong to the present one.

        Examples
        --------
        >>> store_era = StoreEra()
        >>> [store_era.advance_to(era) for era in (3, None, 3, 4, 4, 2)]
        [False, False, False, True, False, False]
        """
        if era is None or (self.number is not None and era <= self.number):
            return False
        is_first, self.number = self.number is None, era
        return not is_first
