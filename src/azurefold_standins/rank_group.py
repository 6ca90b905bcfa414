"""One group of a test site: orders changes and looks at all its ranks."""

import json
import uuid
from dataclasses import dataclass

from azurefold.border.settings import OperatorSettings, load_settings
from azurefold.commands.drain import control_callers
from azurefold.core.groups.messages import Message
from azurefold.internal.clock import wall_clock
from azurefold.internal.http_client import http_client
from azurefold.internal.identity import process_identity
from azurefold.internal.process import ring_from_settings
from azurefold.wire.group_messages import (
    METHOD_CHANGE_MAP,
    METHOD_RANK_MESSAGE,
    ChangeMap,
    ChangeMapReply,
    RankMessage,
    RankReply,
    envelope,
    opened,
)
from azurefold.wire.grpc_caller import Caller, CallError, caller
from azurefold_standins.operator import accept, fetch, status
from azurefold_standins.processes import wait_until
from azurefold_standins.site import Endpoint, Layout, Site

__all__ = ["RankGroup", "group_configuration", "group_layout", "rank_group"]

_TIMEOUT_MS = 2_000
_GENERATE_MS = 60_000


@dataclass(slots=True)
class RankGroup:
    """A group, seen from outside."""

    site: Site
    name: str
    endpoints: tuple[Endpoint, ...]
    settings: OperatorSettings
    callers: list[Caller]

    def engine(self, rank: int) -> str:
        """Return the address of a rank's engine."""
        return self.site.address(f"engine-{self.endpoints[rank].name}", "http")

    def agent(self, rank: int) -> str:
        """Return the name of a rank's agent process."""
        return f"agent-{self.endpoints[rank].name}"

    def state(self, rank: int) -> dict:
        """Return what a rank's engine stores."""
        return json.loads(fetch(self.engine(rank), "/rank").body)

    def steps(self) -> list[tuple[int, list[str]]]:
        """Return each step executed, with the map that each rank used."""
        return json.loads(fetch(self.engine(0), "/steps").body)

    def waits(self) -> dict[int, int]:
        """Return the steps held up and for how many step times."""
        return dict(json.loads(fetch(self.engine(0), "/waits").body))

    def generate(self, rank: int, prompt: str, tokens: int) -> None:
        """Let a rank's engine answer a request, as its agent would."""
        client = http_client(self.engine(rank), _TIMEOUT_MS, _GENERATE_MS)
        body = json.dumps({"prompt": prompt, "max_tokens": tokens})
        headers = {"Request-Id": uuid.uuid4().hex}
        try:
            client.post("/v1/completions", body=body, headers=headers).read()
        finally:
            client.close()

    def experts(self, rank: int) -> dict:
        """Return what a rank's engine reports of its experts."""
        return json.loads(fetch(self.engine(rank), "/experts").body)

    def late_with(self, rank: int, order: str, delay_ms: int) -> None:
        """Let a rank's engine be late with one kind of order; 0 ends it."""
        path = f"/order_delay?order={order}&ms={delay_ms}"
        fetch(self.engine(rank), path, "POST")

    def seen_by(self, control: str) -> dict:
        """Return a control process's view of the group; empty if it has none."""
        return status(self.site, control).get("groups", {}).get(self.name, {})

    def holder(self) -> str | None:
        """Return the control process that holds the lease, if one says so."""
        for control in self.site.controls:
            if self.seen_by(control).get("fence") is not None:
                return control
        return None

    def is_idle(self) -> bool:
        """Return whether a coordinator is there and has nothing to do."""
        seen = [self.seen_by(control) for control in self.site.controls]
        return any(
            one.get("phase") == "idle" and one["fence"] is not None for one in seen
        )

    def order(self, map_id: str) -> ChangeMapReply:
        """Order a change at each control process until one begins it."""
        replies = [ChangeMapReply(False, detail="no control process answers")]
        for each in self.callers:
            try:
                request = ChangeMap(self.name, map_id)
                reply = each.call(
                    METHOD_CHANGE_MAP, request, ChangeMapReply, _TIMEOUT_MS
                )
            except CallError:
                continue
            if reply.begun:
                return reply
            replies.append(reply)
        return replies[-1]

    def change(self, map_id: str) -> None:
        """Order a change, again and again, until it is in force everywhere."""
        wait_until(lambda: self._is_in_force(map_id), f"{map_id} is in force")

    def go_on(self, steps: int = 20) -> None:
        """Wait until the group has executed more steps."""
        until = self.state(0)["next_step"] + steps
        wait_until(lambda: self.state(0)["next_step"] >= until, "steps go on")

    def send(self, rank: int, message: Message) -> list[Message]:
        """Send a rank a message as a coordinator would; return the answers.

        It is repeated until there are some: agents drop what comes while their
        engine is slow with an order.
        """
        ring = ring_from_settings(self.settings.keys)
        sealer = process_identity("former-coordinator", ring, wall_clock()).sealer
        name = self.endpoints[rank].name
        address = self.site.address(f"agent-{name}", "grpc")
        agent = caller(address, ring, sealer, recipient=name)
        size = len(self.endpoints)
        request = RankMessage(self.name, rank, size, envelope(message))
        answers: list[Message] = []

        def answered() -> bool:
            try:
                reply = agent.call(METHOD_RANK_MESSAGE, request, RankReply, _TIMEOUT_MS)
            except CallError:
                return False
            answers[:] = [opened(content) for content in reply.contents]
            return bool(answers)

        try:
            wait_until(answered, f"rank {rank} answers")
        finally:
            agent.close()
        return answers

    def _is_in_force(self, map_id: str) -> bool:
        ranks = range(len(self.endpoints))
        tails = {self.state(rank)["plan"][-1]["map_id"] for rank in ranks}
        if tails != {map_id}:
            self.order(map_id)
            return False
        return self.steps()[-1][1] == [map_id] * len(self.endpoints)


def group_layout(ranks: int, honours_fence: bool = True, step_ms: int = 5) -> Layout:
    """Return one data centre with two control processes and a group."""
    endpoints = tuple(
        Endpoint(f"drafts-{rank}", "recall-drafts", "hall", "drafts", rank)
        for rank in range(ranks)
    )
    return Layout({"hall": 2}, endpoints, step_ms, honours_fence=honours_fence)


def group_configuration(layout: Layout) -> dict:
    """Return a configuration with the group of ``layout``."""
    names = [endpoint.name for endpoint in layout.endpoints]
    service = {
        "kind": "model",
        "model": "recall-drafter",
        "data_centres": ["hall"],
        "endpoints": names,
        "groups": {"drafts": names},
    }
    return {"services": {"recall-drafts": service}, "organisations": {"shops": {}}}


def rank_group(site: Site) -> RankGroup:
    """Start all but the entries of ``site`` and return its group, ready."""
    names = site.processes.names()
    site.start(*(name for name in names if not name.startswith("entry-")))
    accept(site, group_configuration(site.layout))
    settings = load_settings(str(site.folder / "operator.jsonc"), OperatorSettings)
    callers = control_callers(settings.controls, settings.keys)
    endpoints = site.layout.endpoints
    group = RankGroup(site, endpoints[0].group, endpoints, settings, callers)
    wait_until(group.is_idle, "the group is coordinated")
    return group
