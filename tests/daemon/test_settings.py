"""Settings are validated together, and the reference page is up to date."""

from pathlib import Path

from absl import flags

from ragwortshelf.daemon.settings import (
    SETTINGS,
    Settings,
    define_flags,
    load_settings,
    reference_page,
)

VALID_ENVIRONMENT = {
    "RAGWORTSHELF_INSTANCE": "i1",
    "RAGWORTSHELF_DATA_CENTRE": "dc1",
    "RAGWORTSHELF_API_ADDRESS": "127.0.0.1:8000",
    "RAGWORTSHELF_PEER_ADDRESS": "127.0.0.1:8001",
    "RAGWORTSHELF_LOG_ADDRESS": "127.0.0.1:7000",
    "RAGWORTSHELF_LIST_ADDRESS": "[::1]:7001",
    "RAGWORTSHELF_PEER_SECRET": "0123456789abcdef",
}
PAGE = Path(__file__).parents[2] / "docs/operators/settings.md"


def load(environment, *arguments):
    values = flags.FlagValues()
    define_flags(values)
    values(["ragwortshelfd", *arguments])
    return load_settings(values, environment)


def test_flags_override_the_environment():
    settings = load(VALID_ENVIRONMENT, "--instance=i2")
    assert isinstance(settings, Settings)
    assert (settings.instance, settings.data_centre) == ("i2", "dc1")
    assert settings.is_open


def test_all_faults_are_reported_together():
    faults = load(
        {**VALID_ENVIRONMENT, "RAGWORTSHELF_LOG_ADDRESS": "log:7000"},
        "--instance=",
        "--drain_deadline_ms=soon",
        "--peer_address=127.0.0.1:8000",
        "--operator_tokens=short",
    )
    names = [fault.name for fault in faults]
    assert names == [
        "instance",
        "log_address",
        "operator_tokens",
        "drain_deadline_ms",
        "peer_address",
    ]
    assert "RAGWORTSHELF_LOG_ADDRESS" in str(faults[1])


def test_a_token_may_not_identify_two_principals():
    token = "a" * 16
    (fault,) = load(
        VALID_ENVIRONMENT,
        f"--operator_tokens={token}",
        f"--organisation_tokens=org={token}",
    )
    assert "also an organisation's" in fault.detail


def test_defaults_are_valid():
    for setting in SETTINGS:
        if setting.default:
            setting.parse(setting.default)


def test_the_reference_page_is_generated_from_the_flags():
    assert PAGE.read_text() == reference_page()
