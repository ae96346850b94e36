"""State shared between members: each version is sent at most once per connection.

A connection delivers in order or breaks, so what was handed to it needs no
acknowledgement; a new connection is sent the full state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .messages import Entry, Profile

__all__ = ["SharedState"]


class SharedState:
    """Profiles and entries of all members, and the versions sent per connection."""

    def __init__(self):
        self._profile_by_name: dict[str, Profile] = {}
        self._entry_by_key_by_owner: dict[str, dict[str, Entry]] = {}
        self._sent_by_connection: dict[str, dict[tuple[str, str], tuple]] = {}

    def profile(self, name: str) -> Profile | None:
        """Return the newest profile of a member, or None."""
        return self._profile_by_name.get(name)

    def names(self) -> tuple[str, ...]:
        """Return the members that have a profile."""
        return tuple(self._profile_by_name)

    def values(self, key: str) -> Mapping[str, bytes]:
        """Return the value under ``key`` by owner."""
        return {
            owner: entry_by_key[key].value
            for owner, entry_by_key in self._entry_by_key_by_owner.items()
            if key in entry_by_key
        }

    def merge_profile(self, profile: Profile) -> bool:
        """Store a profile if it is newer, and return whether it was.

        Entries of an older incarnation are removed.
        """
        name = profile.instance.name
        stored = self._profile_by_name.get(name)
        if stored is not None and _version(stored) >= _version(profile):
            return False
        if stored is not None and stored.incarnation < profile.incarnation:
            self._drop_older_entries(name, profile.incarnation)
        self._profile_by_name[name] = profile
        return True

    def merge_entry(self, entry: Entry) -> bool:
        """Store an entry if it is newer, and return whether it was."""
        profile = self._profile_by_name.get(entry.owner)
        if profile is not None and entry.incarnation < profile.incarnation:
            return False
        entry_by_key = self._entry_by_key_by_owner.setdefault(entry.owner, {})
        stored = entry_by_key.get(entry.key)
        if stored is not None and _version(stored) >= _version(entry):
            return False
        entry_by_key[entry.key] = entry
        return True

    def take_unsent(
        self, connection_id: str, names: Iterable[str]
    ) -> tuple[tuple[Profile, ...], tuple[Entry, ...]]:
        """Return the state of ``names`` that a connection lacks, and mark it sent."""
        sent = self._sent_by_connection.setdefault(connection_id, {})
        profiles = []
        entries = []
        for name in names:
            profile = self._profile_by_name.get(name)
            if profile is not None and _mark_sent(sent, (name, ""), profile):
                profiles.append(profile)
            for key, entry in self._entry_by_key_by_owner.get(name, {}).items():
                if _mark_sent(sent, (name, f"/{key}"), entry):
                    entries.append(entry)
        return tuple(profiles), tuple(entries)

    def forget_connection(self, connection_id: str) -> None:
        """Remove the record of what was sent over a closed connection."""
        self._sent_by_connection.pop(connection_id, None)

    def forget_member(self, name: str) -> None:
        """Remove all state of a member; if it returns, its state is sent again."""
        self._profile_by_name.pop(name, None)
        self._entry_by_key_by_owner.pop(name, None)
        for sent in self._sent_by_connection.values():
            for key in [key for key in sent if key[0] == name]:
                del sent[key]

    def _drop_older_entries(self, name: str, incarnation: int) -> None:
        entry_by_key = self._entry_by_key_by_owner.get(name, {})
        for key in [k for k, e in entry_by_key.items() if e.incarnation < incarnation]:
            del entry_by_key[key]


def _version(item: Profile | Entry) -> tuple[int, int]:
    return item.incarnation, item.version


def _mark_sent(sent: dict, key: tuple[str, str], item: Profile | Entry) -> bool:
    version = _version(item)
    if sent.get(key) == version:
        return False
    sent[key] = version
    return True
