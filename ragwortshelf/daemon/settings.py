"""Settings of the daemon: flags that fall back to environment variables.

The flags, the checks at start and the reference page are all generated from the table
``SETTINGS``. A flag ``--log_address`` falls back to the environment variable
``RAGWORTSHELF_LOG_ADDRESS`` and then to its default.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from absl import flags

__all__ = [
    "SETTINGS",
    "Setting",
    "Settings",
    "SettingsFault",
    "define_flags",
    "load_settings",
    "reference_page",
]

ENVIRONMENT_PREFIX = "RAGWORTSHELF_"
_MIN_TOKEN_CHARACTERS = 16


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """An invalid setting; its text is a line for the operator."""

    name: str
    detail: str

    def __str__(self) -> str:
        variable = ENVIRONMENT_PREFIX + self.name.upper()
        return f"--{self.name} (or {variable}): {self.detail}"


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one instance; ``SETTINGS`` describes each of them."""

    instance: str
    data_centre: str
    api_address: str
    peer_address: str
    log_address: str
    list_address: str
    operator_tokens: tuple[str, ...]
    organisation_tokens: Mapping[str, str]
    peer_secret: str
    drain_deadline_ms: int
    body_limit_bytes: int
    header_limit_bytes: int
    caller_connections: int
    caller_read_timeout_ms: int
    platform_timeout_ms: int
    worker_timeout_ms: int
    log_level: str

    @property
    def is_open(self) -> bool:
        """Whether callers and operators are admitted without a token."""
        return not self.operator_tokens and not self.organisation_tokens


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting; ``parse`` raises ValueError with a detail if a text is invalid."""

    name: str
    default: str
    parse: Callable[[str], object]
    help: str


def _parse_name(text: str) -> str:
    if not text:
        raise ValueError("is required")
    if not all(c.isalnum() or c in "-_" for c in text) or len(text) > 64:
        raise ValueError("use up to 64 letters, digits, - and _")
    return text


def _parse_address(text: str) -> str:
    if not text:
        raise ValueError("is required")
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(f"{text!r} is not IP:port") from None
    if not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} has no port from 0 to 65535")
    return text


def _parse_token(text: str) -> str:
    if len(text) < _MIN_TOKEN_CHARACTERS:
        raise ValueError(f"a token needs {_MIN_TOKEN_CHARACTERS} characters or more")
    return text


def _parse_tokens(text: str) -> tuple[str, ...]:
    return tuple(_parse_token(token) for token in text.split(",") if token)


def _parse_organisation_tokens(text: str) -> dict[str, str]:
    """Parse ``organisation=token,…`` into a map from token to organisation."""
    organisation_by_token = {}
    for entry in filter(None, text.split(",")):
        organisation, separator, token = entry.partition("=")
        if not organisation or not separator:
            raise ValueError("use organisation=token,organisation=token")
        if token in organisation_by_token:
            raise ValueError("two organisations share a token")
        organisation_by_token[_parse_token(token)] = organisation
    return organisation_by_token


def _parse_secret(text: str) -> str:
    if not text:
        raise ValueError("is required: all instances share one secret")
    return _parse_token(text)


def _integer_parser(low: int, high: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        if not text.isdecimal() or len(text) > 18:
            raise ValueError(f"{text!r} is not a whole number")
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"{value} is not from {low} to {high}")
        return value

    return parse


def _parse_log_level(text: str) -> str:
    if text not in ("debug", "info", "warning", "error"):
        raise ValueError("use debug, info, warning or error")
    return text


_DAY_MS = 86_400_000

SETTINGS = (
    Setting(
        "instance", "", _parse_name, "Name of this instance, unique in the platform."
    ),
    Setting("data_centre", "", _parse_name, "Name of the data centre it runs in."),
    Setting("api_address", "", _parse_address, "IP:port for callers and operators."),
    Setting("peer_address", "", _parse_address, "IP:port for the other instances."),
    Setting("log_address", "", _parse_address, "IP:port of the platform's log."),
    Setting(
        "list_address", "", _parse_address, "IP:port of the platform's instance list."
    ),
    Setting(
        "operator_tokens",
        "",
        _parse_tokens,
        "Bearer tokens of operators, separated by commas.",
    ),
    Setting(
        "organisation_tokens",
        "",
        _parse_organisation_tokens,
        "Bearer tokens of callers: organisation=token, separated by commas.",
    ),
    Setting("peer_secret", "", _parse_secret, "Secret that all instances share."),
    Setting(
        "drain_deadline_ms",
        "30000",
        _integer_parser(0, _DAY_MS),
        "Milliseconds from SIGTERM until the process ends at the latest.",
    ),
    Setting(
        "body_limit_bytes",
        "1048576",
        _integer_parser(1024, 2**30),
        "Largest body of a caller's request, in bytes.",
    ),
    Setting(
        "header_limit_bytes",
        "16384",
        _integer_parser(1024, 2**20),
        "Largest head of a caller's request, in bytes.",
    ),
    Setting(
        "caller_connections",
        "1024",
        _integer_parser(1, 65536),
        "Callers' connections open at once; more are closed.",
    ),
    Setting(
        "caller_read_timeout_ms",
        "10000",
        _integer_parser(100, _DAY_MS),
        "Milliseconds for a request's head, and without progress of its body.",
    ),
    Setting(
        "platform_timeout_ms",
        "5000",
        _integer_parser(100, _DAY_MS),
        "Milliseconds until a call to the log or the list is given up.",
    ),
    Setting(
        "worker_timeout_ms",
        "1500",
        _integer_parser(50, _DAY_MS),
        "Milliseconds until a call to a worker is given up.",
    ),
    Setting("log_level", "info", _parse_log_level, "debug, info, warning or error."),
)


def define_flags(values: flags.FlagValues) -> None:
    """Define a string flag for each setting; `load_settings` checks them together."""
    for setting in SETTINGS:
        flags.DEFINE_string(setting.name, None, setting.help, flag_values=values)


def load_settings(
    values: flags.FlagValues, environment: Mapping[str, str]
) -> Settings | tuple[SettingsFault, ...]:
    """Return the settings, or all faults found in them."""
    parsed = {}
    faults = []
    for setting in SETTINGS:
        text = values[setting.name].value
        if text is None:
            variable = ENVIRONMENT_PREFIX + setting.name.upper()
            text = environment.get(variable, setting.default)
        try:
            parsed[setting.name] = setting.parse(text)
        except ValueError as error:
            faults.append(SettingsFault(setting.name, str(error)))
    faults.extend(_cross_checks(parsed))
    return tuple(faults) if faults else Settings(**parsed)


def _cross_checks(parsed: Mapping[str, object]) -> list[SettingsFault]:
    """Return the faults that concern several settings together."""
    faults = []
    if parsed.get("api_address") and _is_same_address(
        parsed, "api_address", "peer_address"
    ):
        detail = "is the same as --api_address"
        faults.append(SettingsFault("peer_address", detail))
    shared_tokens = set(parsed.get("operator_tokens", ())) & set(
        parsed.get("organisation_tokens", {})
    )
    if shared_tokens:
        detail = "an operator's token is also an organisation's"
        faults.append(SettingsFault("organisation_tokens", detail))
    return faults


def _is_same_address(parsed, first: str, second: str) -> bool:
    address = parsed.get(first)
    return address == parsed.get(second) and not str(address).endswith(":0")


def reference_page() -> str:
    """Return the reference page of all settings in Markdown."""
    lines = [
        "# Settings of ragwortshelfd",
        "",
        "This page is generated: `python -m ragwortshelf.daemon.settings_page`.",
        "",
        "| flag | environment variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for setting in SETTINGS:
        default = f"`{setting.default}`" if setting.default else ""
        variable = ENVIRONMENT_PREFIX + setting.name.upper()
        lines.append(
            f"| `--{setting.name}` | `{variable}` | {default} | {setting.help} |"
        )
    return "\n".join(lines) + "\n"
