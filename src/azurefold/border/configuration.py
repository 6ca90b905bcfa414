"""The operators' text: services, what they depend on, and organisations."""

from typing import Annotated, Any, Literal

from pydantic import Field

from azurefold.border.configuration_checks import cross_check
from azurefold.border.fields import Milliseconds, Name
from azurefold.border.findings import FindingsError
from azurefold.border.text import Text, parse_text
from azurefold.border.validation import BorderModel, read_text, validated
from azurefold.core.configuration.model import (
    Balance,
    BookingHours,
    Configuration,
    Group,
    Limits,
    Objectives,
    Organisation,
    Priority,
    Service,
    ServiceKind,
)

__all__ = [
    "ConfigurationModel",
    "OrganisationModel",
    "ServiceModel",
    "configuration_from_raw",
    "load_configuration",
    "parse_configuration",
]

_MESSAGE = "the configuration is refused"
_TIME_PATTERN = r"^([01][0-9]|2[0-3]):[0-5][0-9]$"
_MINUTES_PER_HOUR = 60

_Names = Annotated[list[Name], Field(min_length=1)]
_Weight = Annotated[float, Field(ge=0, le=1_000_000, strict=False)]
_Rate = Annotated[float, Field(gt=0, le=1e9, strict=False)]
_Count = Annotated[int, Field(ge=1, le=1_000_000)]


class ObjectivesModel(BorderModel):
    """See :class:`azurefold.core.configuration.model.Objectives`."""

    first_token_ms: Milliseconds = Field(
        default=1_100, description="milliseconds to the first token"
    )
    between_tokens_ms: Milliseconds = Field(
        default=70, description="milliseconds between tokens"
    )
    target_share: Annotated[float, Field(gt=0, lt=1)] = Field(
        default=0.95, description="a share above 0 and below 1, such as 0.95"
    )


class LimitsModel(BorderModel):
    """See :class:`azurefold.core.configuration.model.Limits`."""

    timeout_ms: Milliseconds = Field(
        default=30_000, description="milliseconds for one request, at most a day"
    )
    max_queue: _Count = Field(default=256, description="requests waiting at one entry")
    concurrency: _Count = Field(
        default=32, description="requests under way at one endpoint"
    )


class BookingHoursModel(BorderModel):
    """See :class:`azurefold.core.configuration.model.BookingHours`."""

    start: Annotated[str, Field(pattern=_TIME_PATTERN)] = Field(
        description='a time of day in UTC, "08:30"'
    )
    end: Annotated[str, Field(pattern=_TIME_PATTERN)] = Field(
        description='a time of day in UTC, "14:00"'
    )
    move_factor: _Weight = Field(description="a number that move_weight is times by")

    def to_core(self) -> BookingHours:
        """Return the data class that the decisions use."""
        start, end = _minute_of_day(self.start), _minute_of_day(self.end)
        return BookingHours(start, end, self.move_factor)


class BalanceModel(BorderModel):
    """See :class:`azurefold.core.configuration.model.Balance`."""

    skew_weight: _Weight = Field(default=1.0, description="a weight of 0 or more")
    move_weight: _Weight = Field(default=1.0, description="a weight of 0 or more")
    booking_hours: list[BookingHoursModel] = Field(
        default_factory=list, description="windows in which moves are dearer"
    )

    def to_core(self) -> Balance:
        """Return the data class that the decisions use."""
        hours = tuple(window.to_core() for window in self.booking_hours)
        return Balance(self.skew_weight, self.move_weight, hours)


class ServiceModel(BorderModel):
    """See :class:`azurefold.core.configuration.model.Service`."""

    kind: Literal["model", "plain"] = Field(description='"model" or "plain"')
    data_centres: _Names = Field(description="names of data centres, at least one")
    endpoints: _Names = Field(description="names of endpoints, at least one")
    groups: dict[Name, _Names] = Field(
        default_factory=dict,
        description="groups of ranks: for each its endpoints in the order of ranks",
    )
    model: str = Field(default="", description="the name of the model")
    priority: Literal["confirmation", "draft"] = Field(
        default="draft", description='"confirmation" or "draft"'
    )
    depends_on: list[Name] = Field(
        default_factory=list, description="names of services in this text"
    )
    idempotent: bool = Field(
        default=True, description="false if a request must run at most once"
    )
    objectives: ObjectivesModel = Field(default_factory=ObjectivesModel)
    limits: LimitsModel = Field(default_factory=LimitsModel)
    balance: BalanceModel = Field(default_factory=BalanceModel)

    def to_core(self, name: str) -> Service:
        """Return the data class that the decisions use."""
        groups = [Group(key, tuple(ranks)) for key, ranks in self.groups.items()]
        return Service(
            name=name,
            kind=ServiceKind(self.kind),
            data_centres=tuple(self.data_centres),
            endpoints=tuple(self.endpoints),
            groups=tuple(groups),
            model=self.model,
            priority=Priority(self.priority),
            depends_on=tuple(self.depends_on),
            is_idempotent=self.idempotent,
            objectives=Objectives(**self.objectives.model_dump()),
            limits=Limits(**self.limits.model_dump()),
            balance=self.balance.to_core(),
        )


class OrganisationModel(BorderModel):
    """See :class:`azurefold.core.configuration.model.Organisation`."""

    share: Annotated[float, Field(gt=0, le=1_000_000, strict=False)] = Field(
        default=1.0, description="a weight above 0"
    )
    requests_per_second: _Rate | None = Field(
        default=None, description="a rate above 0, or left out for no limit"
    )
    tokens_per_second: _Rate | None = Field(
        default=None, description="a rate above 0, or left out for no limit"
    )
    api_key_sha256: Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")] = Field(
        default="", description="the SHA-256 of the key in 64 hexadecimal digits"
    )

    def to_core(self, name: str) -> Organisation:
        """Return the data class that the decisions use."""
        return Organisation(name=name, **self.model_dump())


class ConfigurationModel(BorderModel):
    """The operators' whole text."""

    services: dict[Name, ServiceModel] = Field(description="services by name")
    organisations: dict[Name, OrganisationModel] = Field(
        default_factory=dict, description="organisations by name"
    )

    def to_core(self) -> Configuration:
        """Return the data class that the decisions use."""
        return Configuration(
            services={k: v.to_core(k) for k, v in self.services.items()},
            organisations={k: v.to_core(k) for k, v in self.organisations.items()},
        )

    def to_raw(self) -> dict[str, Any]:
        """Return plain JSON values with every default written out.

        A default left out would be filled in by each process with its own
        version's default. During an upgrade one accepted revision would then
        mean two things.
        """
        raw = self.model_dump(mode="json")
        for service in raw["services"].values():
            if service["kind"] == ServiceKind.PLAIN:
                del service["balance"]
        return raw


def load_configuration(path: str) -> ConfigurationModel:
    """Read the operators' text at ``path``.

    Raises
    ------
    FindingsError
        With every finding and its place.
    """
    return _validated(read_text(path))


def parse_configuration(file: str, source: str) -> ConfigurationModel:
    """Read the operators' text ``source``; ``file`` names it in findings."""
    return _validated(parse_text(file, source))


def configuration_from_raw(raw: Any) -> Configuration:
    """Return an accepted configuration from its plain JSON values.

    Raises
    ------
    ValueError
        If this version cannot use it. An operator's newer ``azurefold`` may
        have accepted keys that an older process does not know: it then keeps
        the revision it has, which shows in its status.
    """
    try:
        return _validated(Text("accepted configuration", "{}", raw)).to_core()
    except FindingsError as error:
        raise ValueError(str(error)) from error


def _validated(text: Text) -> ConfigurationModel:
    return validated(text, ConfigurationModel, cross_check, _MESSAGE)


def _minute_of_day(text: str) -> int:
    hours, minutes = text.split(":")
    return int(hours) * _MINUTES_PER_HOUR + int(minutes)
