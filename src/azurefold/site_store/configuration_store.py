"""The accepted configuration in the platform's table and object store.

Three kinds of rows, written in one transaction: the mark, which is small and is
what pollers read; the head with all hashes; and one row for each edit, by which
an operator whose answer was lost learns whose edit got the revision.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from gevent.pool import Pool

from azurefold.border.decoding import UnreadableError, json_decoder
from azurefold.core.configuration.acceptance import (
    OutcomeUnknown,
    WriteConflict,
    WriteNotApplied,
    WriteResult,
    WriteSucceeded,
)
from azurefold.core.configuration.head import (
    NO_HEAD,
    Head,
    HeadId,
    decode_head,
    decode_head_id,
    encode_json,
)
from azurefold.core.configuration.messages import PlatformPolled, PollFailed
from azurefold.core.configuration.sections import Sections
from azurefold.site_store.client import PlatformClient
from azurefold.site_store.messages import (
    Condition,
    Conflict,
    Missing,
    ObjectBytes,
    Put,
    Row,
    Transaction,
    Unavailable,
    Unknown,
    Written,
)

__all__ = ["Base", "ConfigurationStore", "EditRecord", "configuration_store"]

_MARK = "configuration/mark"
_HEAD = "configuration/head"
_EDIT = "configuration/edit/"
_EDITS_KEPT = 10_000
_READS_AT_ONCE = 8


class EditRecord(msgspec.Struct, frozen=True):
    """What an edit leaves behind beside the head.

    Parameters
    ----------
    edit_id : str
        Its random id.
    changed : tuple of str
        Services and organisations that it changed.
    author : str
        Who made it, as they called themselves.
    """

    edit_id: str
    changed: tuple[str, ...] = ()
    author: str = ""


_decode_edit = json_decoder(EditRecord)


@dataclass(frozen=True, slots=True)
class Base:
    """What an edit builds upon.

    Parameters
    ----------
    head : Head
        The accepted head; ``NO_HEAD`` if there is none yet.
    version : int or None
        Version of the mark's row, the condition of the next write.
    """

    head: Head
    version: int | None


class ConfigurationStore:
    """Reads and writes of the configuration's rows and objects.

    Parameters
    ----------
    client : PlatformClient
        The platform's service.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def poll(self) -> PlatformPolled | PollFailed:
        """Read the mark, for a follower."""
        read = self._client.read([_MARK])
        if isinstance(read, Unavailable):
            return PollFailed()
        row = read.rows.get(_MARK)
        if row is None:
            return PlatformPolled(None, None)
        try:
            return PlatformPolled(decode_head_id(row.value), row.version)
        except ValueError:
            return PollFailed()

    def read_base(self) -> Base | Unavailable:
        """Read head and mark from one moment."""
        read = self._client.read([_MARK, _HEAD])
        if isinstance(read, Unavailable):
            return read
        if _MARK not in read.rows or _HEAD not in read.rows:
            return Base(NO_HEAD, None)
        try:
            head = decode_head(read.rows[_HEAD].value)
        except ValueError as error:
            return Unavailable(f"the head's row is damaged: {error}")
        return Base(head, read.rows[_MARK].version)

    def read_sections(self, head: Head) -> Sections | Unavailable:
        """Read the contents of all sections of ``head``."""
        read = self.read_contents(tuple(head.sections.values()))
        if isinstance(read, Unavailable):
            return read
        return {name: read[hashed] for name, hashed in head.sections.items()}

    def read_contents(self, hashes: tuple[str, ...]) -> dict[str, bytes] | Unavailable:
        """Read contents by their hashes, several at the same time.

        A process that starts reads some 300. One after the other, a platform
        that takes 10 ms for each would keep it without configuration for 3 s.
        """
        contents = {}
        pool = Pool(_READS_AT_ONCE)
        for hashed, result in zip(
            hashes, pool.imap(self._client.get_object, hashes), strict=True
        ):
            match result:
                case ObjectBytes(data=data):
                    contents[hashed] = data
                case Missing():
                    return Unavailable(f"no content is stored under {hashed}")
                case Unavailable() as unavailable:
                    return unavailable
        return contents

    def put_contents(self, contents: list[bytes]) -> Unavailable | None:
        """Store contents, before any head that names them."""
        for data in contents:
            result = self._client.put_object(data)
            if isinstance(result, Unavailable):
                return result
        return None

    def submit(
        self, head: Head, version: int | None, record: EditRecord | None = None
    ) -> WriteResult:
        """Try to make ``head`` the accepted one.

        Parameters
        ----------
        head : Head
            Its contents are stored already.
        version : int or None
            Version of the mark's row that it is built upon.
        record : EditRecord, optional
            What to note of the edit for colleagues whose base it changes.
        """
        record = record or EditRecord(head.edit_id)
        match self._client.write(_transaction(head, version, record)):
            case Written():
                return WriteSucceeded()
            case Conflict(rows=rows):
                return self._refused(head, rows)
            case Unknown():
                return self._read_back(head)
            case Unavailable(reason=reason):
                return WriteNotApplied(reason)

    def edit_of(self, revision: int) -> str | Unavailable:
        """Return the id of the edit that got ``revision``, or ``""``."""
        records = self.edits([revision])
        if isinstance(records, Unavailable):
            return records
        return records[revision].edit_id if revision in records else ""

    def edits(self, revisions: Sequence[int]) -> dict[int, EditRecord] | Unavailable:
        """Read what is noted of the edits that made ``revisions``."""
        read = self._client.read([_edit_key(revision) for revision in revisions])
        if isinstance(read, Unavailable):
            return read
        records = {}
        for revision in revisions:
            row = read.rows.get(_edit_key(revision))
            if row is not None:
                try:
                    records[revision] = _decode_edit(row.value)
                except UnreadableError as error:
                    return Unavailable(f"the row of edit {revision}: {error}")
        return records

    def write_back(self, head: Head, sections: Sections, version: int | None) -> bool:
        """Put ``head`` back over an older copy; return whether it took effect.

        A lost answer counts as no effect: the next look tells.
        """
        if self.put_contents(list(sections.values())) is not None:
            return False
        record = EditRecord(head.edit_id)
        written = self._client.write(_transaction(head, version, record))
        return isinstance(written, Written)

    def _read_back(self, head: Head) -> WriteResult:
        # An absent row proves nothing: a slow write may still land. The same
        # transaction is then handed in again.
        edit_id = self.edit_of(head.revision)
        if edit_id == head.edit_id:
            return WriteSucceeded()
        if isinstance(edit_id, Unavailable) or not edit_id:
            return OutcomeUnknown()
        polled = self.poll()
        present = polled.head_id if isinstance(polled, PlatformPolled) else None
        return WriteConflict(present, edit_id)

    def _refused(self, head: Head, rows: dict[str, Row]) -> WriteResult:
        # Only a row that is there proves whose edit got the revision. If it
        # cannot be read now, the write counts as doubtful and is tried again.
        edit_id = self.edit_of(head.revision)
        if isinstance(edit_id, Unavailable):
            return OutcomeUnknown()
        present = _mark_in(rows)
        return WriteConflict(present, edit_id)


def configuration_store(client: PlatformClient) -> ConfigurationStore:
    """Return the configuration's part of the platform."""
    return ConfigurationStore(client)


def _transaction(head: Head, version: int | None, record: EditRecord) -> Transaction:
    puts = (
        Put(_MARK, encode_json(head.head_id)),
        Put(_HEAD, encode_json(head)),
        Put(_edit_key(head.revision), msgspec.json.encode(record).decode()),
    )
    pruned = (_edit_key(head.revision - _EDITS_KEPT),)
    return Transaction((Condition(_MARK, version),), puts, pruned)


def _edit_key(revision: int) -> str:
    return f"{_EDIT}{revision}"


def _mark_in(rows: dict[str, Row]) -> HeadId | None:
    try:
        return decode_head_id(rows[_MARK].value)
    except (KeyError, ValueError):
        return None
