"""When the configuration of a new instance comes into force."""

from pathlib import Path

import pytest
import trio
from absl import flags

from ragwortshelf.core.releases import ReleaseNote, note_to_json, parse_note
from ragwortshelf.core.streams import RELEASES_STREAM, ReleaseSubmitted
from ragwortshelf.daemon.clock import wall_ms
from ragwortshelf.daemon.node import Node, _revision_fields
from ragwortshelf.daemon.peer_messages import StreamState
from ragwortshelf.daemon.settings import define_flags, load_settings

NOTE_FILE = Path(__file__).parents[2] / "deployments/agency/release.toml"
ENVIRONMENT = {
    "RAGWORTSHELF_INSTANCE": "ankara-1-a",
    "RAGWORTSHELF_DATA_CENTRE": "ankara-1",
    "RAGWORTSHELF_API_ADDRESS": "127.0.0.1:0",
    "RAGWORTSHELF_PEER_ADDRESS": "127.0.0.1:0",
    "RAGWORTSHELF_LOG_ADDRESS": "127.0.0.1:1",
    "RAGWORTSHELF_LIST_ADDRESS": "127.0.0.1:1",
    "RAGWORTSHELF_PEER_SECRET": "0123456789abcdef",
}


@pytest.fixture
def node():
    values = flags.FlagValues()
    define_flags(values)
    values(["ragwortshelfd"])
    return Node(load_settings(values, ENVIRONMENT))


def apply_first_note(node):
    """Apply the first note, as if more of the log remained to be read."""
    note = parse_note(NOTE_FILE.read_text(), "toml")
    assert isinstance(note, ReleaseNote)
    record = ReleaseSubmitted(note.note_id, note.author, note_to_json(note), 0)
    node.releases.apply(0, record)
    node._activate_configuration()


async def test_no_configuration_is_in_force_before_the_log_is_read_to_its_end(
    node, monkeypatch, autojump_clock
):
    is_caught_up = False
    monkeypatch.setattr(node.streams, "is_caught_up", lambda stream=None: is_caught_up)
    apply_first_note(node)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node._activate_when_caught_up)
        await trio.sleep(60)
        assert node.unready_reason()
        assert node.revision_in_force == -1
        is_caught_up = True
        await trio.sleep(1)
        assert node.unready_reason() == ""
        assert node.revision_in_force == 0


async def test_state_of_a_peer_comes_into_force_only_during_a_log_outage(
    node, monkeypatch
):
    async def answer(peer, message, *, deadline_ms):
        return StreamState(b"state")

    def adopt(data):
        apply_first_note(node)
        return (RELEASES_STREAM,)

    is_log_up = True
    monkeypatch.setattr(node.network, "call", answer)
    monkeypatch.setattr(node.streams, "adopt_from_peer", adopt)
    monkeypatch.setattr(node.streams, "is_log_up", lambda: is_log_up)
    assert await node._adopt_state_of("ankara-1-b")
    assert node.unready_reason()
    is_log_up = False
    assert await node._adopt_state_of("ankara-1-b")
    assert node.unready_reason() == ""


async def test_a_revision_has_the_time_since_when_it_is_in_force_and_its_age(
    node, monkeypatch, autojump_clock
):
    monkeypatch.setattr(node.streams, "is_caught_up", lambda stream=None: True)
    monkeypatch.setattr(node.streams, "is_log_up", lambda: True)
    began_ms = wall_ms()
    node._allow_activation()
    apply_first_note(node)
    fields = _revision_fields(node._revision(), wall_ms())
    assert fields["revision"] == 0
    assert fields["in_force_since_wall_ms"] >= began_ms
    assert fields["age_ms"] < 60_000
