"""What the store tells, put in force."""

import logging
from dataclasses import dataclass, field

from azurefold.core.clock import Millis
from azurefold.core.membership.freshness import TableWatermark
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.membership.table_refresh import RefreshReason, RefreshScheduler
from azurefold.core.routes.model import RoutingConfiguration
from azurefold.gateway.state import GatewayState
from azurefold.gateway.store.followers import TableFollower
from azurefold.internal.logs import log_event
from azurefold.platform import configuration as configurations
from azurefold.platform import evacuations
from azurefold.platform import registry as registries
from azurefold.platform.store import LONGEST_WAIT_MS, StoreClient
from azurefold.platform.store_messages import StoredRow

__all__ = ["News", "new_news"]

_log = logging.getLogger("azurefold.gateway")

_GATHER_MS: Millis = 200
_LONGEST_GATHER_MS: Millis = 600
"""What is changed has to be in force after two seconds. At a start with 19
endpoints a pause of 200 ms saves two calls of three."""

_GATHER_SHARE_OF_DRAIN = 0.3
"""Of the time within which an endpoint that leaves has to get no new work: the rest is
for the call, and for a store that is slow. Hundreds of gateways read each change of
hundreds of endpoints, and while some are replaced there is always one."""

_NODES_OF_GATHER = 9


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
    _renewals: tuple[tuple[TableFollower, RefreshScheduler], ...] = field(init=False)

    def __post_init__(self) -> None:
        self._renewals = tuple(
            (follower, RefreshScheduler(follower.freshness))
            for follower in (self.configuration, self.endpoints)
        )

    def merge_statements(
        self, configuration: TableWatermark | None, endpoints: TableWatermark | None
    ) -> None:
        """Take in what another node knows of the two tables."""
        state, store_now = self.state, self.state.store_now
        if configuration is not None:
            self.configuration.freshness.merge(configuration, store_now)
        if endpoints is None:
            return
        known = self.endpoints.freshness
        known.merge(endpoints, store_now)
        if store_now is not None and known.is_outage_local(endpoints, store_now):
            state.registry.end_outage_grace(state.clock.now())

    def tick(self, now: Millis) -> None:
        """Ask the store anew where other nodes know more, or what is known is old."""
        self.state.check_standstill()
        store_now = self.state.store_now
        for follower, renewal in self._renewals:
            renewal.times = self.state.renewal_times
            why = renewal.check(now, store_now, self.state.draw.random())
            if why is None or not follower.renew(
                whole=why is RefreshReason.STILL_BEHIND
            ):
                continue
            log_event(
                _log,
                "table_asked_anew",
                table=follower.table,
                why=why,
                age_ms=follower.freshness.age(store_now),
                row=follower.freshness.applied_version,
            )

    def use_store(self, store: StoreClient) -> None:
        """Follow the tables of another store from now on."""
        for follower in (self.configuration, self.endpoints):
            follower.set_store(store)


_LONGEST_REASON = 200
"""Characters of why an entry cannot be read: what another writer left may be long."""


class _Applier:
    """Puts rows in force."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._decoder = configurations.ConfigurationDecoder()
        self._tried_row = 0
        self._unreadable_evacuation = 0
        self._unreadable_entries: dict[str, int] = {}

    def configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take ``rows`` for the operators' whole table."""
        state = self._state
        written, _ = self._evacuations(rows)
        state.evacuations.replace_all(written, state.clock.now())
        self._operators_rows(rows)

    def configuration_changes(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in operators' rows that changed, in the order of their changes."""
        self._state.evacuations.update(*self._evacuations(rows))
        self._operators_rows(rows)

    def _operators_rows(self, rows: tuple[StoredRow, ...]) -> None:
        # A service that fails to take one of the two in must not hold up the other.
        try:
            self._state.put_evacuations_in_force()
        finally:
            self._newest_configuration(rows)

    def _evacuations(
        self, rows: tuple[StoredRow, ...]
    ) -> tuple[dict[str, int], frozenset[str]]:
        """Return the versions of rows that evacuate data centres, and those removed."""
        written: dict[str, int] = {}
        removed: set[str] = set()
        for row in rows:
            name = self._evacuated(row)
            if name is None:
                continue
            # Of several changes of one row the last one counts.
            written.pop(name, None)
            removed.discard(name)
            if row.removed:
                removed.add(name)
            else:
                written[name] = row.version
        return written, frozenset(removed)

    def _evacuated(self, row: StoredRow) -> str | None:
        if not evacuations.is_evacuation(row.key):
            return None
        try:
            return evacuations.decode_evacuation(row.key)
        except evacuations.BadEvacuationError as error:
            # Each read of the whole table shows it again.
            if row.version > self._unreadable_evacuation and not row.removed:
                self._unreadable_evacuation = row.version
                why = str(error)[:_LONGEST_REASON]
                log_event(_log, "evacuation_unreadable", logging.ERROR, why=why)
            return None

    def _newest_configuration(self, rows: tuple[StoredRow, ...]) -> None:
        """Apply the newest configuration among ``rows`` that can be read.

        One that failed before is applied again unless there is a newer one.
        """
        for row in reversed(rows):
            if row.key != configurations.KEY or row.removed:
                continue
            if self._configuration(row):
                break
        pending = self._state.pending
        if pending is not None:
            self._apply(pending)

    def endpoint_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take ``rows`` for the whole list."""
        before = set(self._state.registry.entries)
        entries = [entry for row in rows if (entry := self._entry(row))]
        listed = {row.key for row in rows}
        self._unreadable_entries = {
            key: version
            for key, version in self._unreadable_entries.items()
            if key in listed
        }
        state = self._state
        restarted = state.registry.replace_all(
            entries, state.clock.now(), state.endpoints_known_at
        )
        self._after_endpoints(before, rows, restarted)

    def endpoint_changes(self, rows: tuple[StoredRow, ...]) -> None:
        """Take in entries that changed, in the order of their changes."""
        state = self._state
        before = set(state.registry.entries)
        registry = state.registry
        latest = {row.key: row for row in rows}.values()
        removed = [row.key for row in latest if row.removed]
        registry.remove(removed, state.clock.now(), state.endpoints_known_at)
        written = {row.key: self._entry(row) for row in latest if not row.removed}
        registry.discard(name for name, entry in written.items() if entry is None)
        restarted = registry.put(entry for entry in written.values() if entry)
        self._after_endpoints(before, rows, restarted)

    def _configuration(self, row: StoredRow) -> bool:
        """Apply a configuration if it is newer; return whether it can be read."""
        state = self._state
        try:
            read = self._decoder.decode(row.value)
        except configurations.BadConfigurationError as error:
            log_event(_log, "configuration_unreadable", logging.ERROR, why=error)
            return False
        pending = state.pending
        lowest = pending.version if pending is not None else state.version + 1
        if read.version < lowest:
            log_event(
                _log,
                "configuration_ignored",
                version=read.version,
                in_force=state.version,
                row=row.version,
            )
            return True
        self._tried_row = row.version
        self._apply(read)
        return True

    def _apply(self, configuration: RoutingConfiguration) -> None:
        state = self._state
        before = state.version
        state.apply(configuration)
        log_event(
            _log,
            "configuration_in_force",
            version=configuration.version,
            before=before,
            row=self._tried_row,
            routes=len(configuration.routes),
            keys=len(configuration.key_holders),
        )

    def _entry(self, row: StoredRow) -> EndpointEntry | None:
        try:
            return registries.decode_entry(row.key, row.value)
        except registries.BadEntryError as error:
            self._note_unreadable(row, error)
            return None

    def _note_unreadable(self, row: StoredRow, error: Exception) -> None:
        """Count and log a row that cannot be read, once for each time it is written."""
        # Each read of the whole table shows it again.
        if self._unreadable_entries.get(row.key) == row.version:
            return
        self._unreadable_entries[row.key] = row.version
        self._state.unreadable_entries += 1
        why = str(error)[:_LONGEST_REASON]
        log_event(
            _log,
            "entry_unreadable",
            logging.ERROR,
            endpoint=row.key,
            row=row.version,
            why=why,
        )

    def _after_endpoints(
        self, before: set[str], rows: tuple[StoredRow, ...], restarted: list[str]
    ) -> None:
        state = self._state
        for name in restarted:
            log_event(_log, "endpoint_restarted", endpoint=name)
            state.endpoint_restarted(name)
        entries = state.registry.entries
        for name in before - entries.keys():
            state.links.forget(name)
            log_event(_log, "endpoint_gone", endpoint=name)
        joined = [row.key for row in rows if row.key in entries.keys() - before]
        leaving = [row.key for row in rows if row.key in state.registry.leaving]
        if joined or leaving:
            log_event(
                _log,
                "endpoints_seen",
                joined=",".join(joined) or "none",
                leaving=",".join(leaving) or "none",
                all=len(entries),
                row=max((row.version for row in rows), default=0),
            )
        lapsed = state.registry.retained
        if lapsed:
            log_event(_log, "endpoints_lapsed", endpoints=len(lapsed))
        withheld = state.registry.withheld & {row.key for row in rows}
        if withheld:
            log_event(_log, "endpoints_withheld", endpoints=",".join(sorted(withheld)))
        state.spread_endpoints()


def _gather(nodes: int, longest: Millis) -> Millis:
    """Return the pause after changes; more nodes and endpoints change more."""
    return min(_GATHER_MS * max(1, nodes // _NODES_OF_GATHER), longest)


def _gather_endpoints(state: GatewayState) -> Millis:
    longest = round(_GATHER_SHARE_OF_DRAIN * state.settings.drain_ms)
    return _gather(state.nodes, max(_LONGEST_GATHER_MS, longest))


def new_news(state: GatewayState, store: StoreClient) -> News:
    """Return followers, not yet running."""
    applier = _Applier(state)

    def follower(
        table, gather_ms, on_rows, on_changes, on_heard, on_lost, freshness
    ) -> TableFollower:
        return TableFollower(
            store=store,
            table=table,
            wait_ms=lambda: min(
                state.turn.poll_wait_ms(state.store_now), LONGEST_WAIT_MS
            ),
            gather_ms=gather_ms,
            clock=state.clock,
            draw=state.draw,
            on_rows=on_rows,
            on_changes=on_changes,
            on_heard=on_heard,
            on_doubt=state.doubt_configuration,
            on_lost=on_lost,
            freshness=freshness,
            store_time=state.store_time,
        )

    def heard_of_endpoints() -> None:
        state.registry.on_store_regained(state.clock.now())
        # Nothing yields until the answer's rows are in force, so who waits sees them.
        state.endpoints_heard.set()

    news = News(
        state,
        configuration=follower(
            configurations.TABLE,
            lambda: _gather(state.nodes, _LONGEST_GATHER_MS),
            applier.configuration_rows,
            applier.configuration_changes,
            state.confirm_configuration,
            lambda: None,
            state.configuration_freshness,
        ),
        endpoints=follower(
            registries.TABLE,
            lambda: _gather_endpoints(state),
            applier.endpoint_rows,
            applier.endpoint_changes,
            heard_of_endpoints,
            state.on_endpoints_lost,
            state.endpoints_freshness,
        ),
    )
    known = state.configuration_freshness
    news.configuration.is_behind = lambda: known.is_behind
    news.configuration.on_return = state.note_store_return
    news.endpoints.on_return = lambda: state.registry.on_store_restored(
        state.clock.now()
    )
    return news
