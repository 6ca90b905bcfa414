"""What the store tells, put in force."""

import logging
from dataclasses import dataclass

import msgspec

from azurefold.core.clock import Millis
from azurefold.gateway.followers import TableFollower
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event
from azurefold.platform import configuration as configurations
from azurefold.platform import registry as registries
from azurefold.platform.store import StoreClient
from azurefold.platform.store_messages import StoredRow

__all__ = ["News", "new_news"]

_log = logging.getLogger("azurefold.gateway")

_FEED_WAIT_MS: Millis = 15_000
"""Each call has a price, and a silent connection is found by its probes."""


@dataclass(slots=True)
class News:
    """The followers of configuration and endpoints.

    Parameters
    ----------
    state : GatewayState
    configuration, endpoints : TableFollower
    """

    state: GatewayState
    configuration: TableFollower
    endpoints: TableFollower

    def use_store(self, store: StoreClient) -> None:
        """Follow the tables of another store from now on."""
        for follower in (self.configuration, self.endpoints):
            follower.store = store
            follower.look_again()


class _Applier:
    """Puts rows in force."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the configuration among ``rows``, if it is newer."""
        for row in rows:
            if row.key == configurations.KEY and not row.removed:
                self._configuration(row)

    def endpoint_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take ``rows`` for the whole list."""
        before = set(self._state.registry.entries)
        entries = [entry for row in rows if (entry := self._entry(row))]
        self._state.registry.replace(entries, self._state.clock.now())
        self._after_endpoints(before, rows)

    def endpoint_changes(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in entries that changed."""
        before = set(self._state.registry.entries)
        registry = self._state.registry
        registry.remove(
            [row.key for row in rows if row.removed], self._state.clock.now()
        )
        registry.put(
            entry
            for row in rows
            if not row.removed and (entry := self._entry(row)) is not None
        )
        self._after_endpoints(before, rows)

    def _configuration(self, row: StoredRow) -> None:
        state = self._state
        try:
            read = configurations.decode_configuration(row.value)
        except configurations.BadConfigurationError as error:
            log_event(_log, "configuration_unreadable", logging.ERROR, why=error)
            return
        if read.version <= state.version:
            log_event(
                _log,
                "configuration_ignored",
                version=read.version,
                in_force=state.version,
                row=row.version,
            )
            return
        before = state.version
        state.apply(read)
        log_event(
            _log,
            "configuration_in_force",
            version=read.version,
            before=before,
            row=row.version,
            routes=len(read.routes),
            keys=len(read.holders),
        )

    @staticmethod
    def _entry(row: StoredRow):
        try:
            return registries.decode_entry(row.key, row.value)
        except msgspec.MsgspecError as error:
            log_event(
                _log, "entry_unreadable", logging.ERROR, endpoint=row.key, why=error
            )
            return None

    def _after_endpoints(self, before: set[str], rows: tuple[StoredRow, ...]) -> None:
        state = self._state
        entries = state.registry.entries
        for name in before - entries.keys():
            state.links.forget(name)
            log_event(_log, "endpoint_gone", endpoint=name)
        for row in rows:
            entry = entries.get(row.key)
            if entry is not None and (entry.leaving or row.key not in before):
                log_event(
                    _log,
                    "endpoint_seen",
                    endpoint=entry.name,
                    service=entry.service,
                    address=entry.address,
                    leaving=entry.leaving,
                    row=row.version,
                )
        lapsed = state.registry.lapsed
        if lapsed:
            log_event(_log, "endpoints_lapsed", endpoints=len(lapsed))
        state.spread_endpoints()


def new_news(state: GatewayState, store: StoreClient) -> News:
    """Return followers, not yet running."""
    applier = _Applier(state)

    def follower(table, on_rows, on_changes, on_heard) -> TableFollower:
        return TableFollower(
            store=store,
            table=table,
            wait_ms=_FEED_WAIT_MS,
            clock=state.clock,
            draw=state.draw,
            on_rows=on_rows,
            on_changes=on_changes,
            on_heard=on_heard,
            on_doubt=state.doubt_configuration,
            on_lost=state.registry.store_lost,
        )

    def heard_of_endpoints() -> None:
        state.registry.store_regained(state.clock.now())

    return News(
        state,
        configuration=follower(
            configurations.TABLE,
            applier.configuration_rows,
            applier.configuration_rows,
            state.confirm_configuration,
        ),
        endpoints=follower(
            registries.TABLE,
            applier.endpoint_rows,
            applier.endpoint_changes,
            heard_of_endpoints,
        ),
    )
