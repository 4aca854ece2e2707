"""Settings that change while a daemon runs, with and without a signal."""

import dataclasses
import unittest

from primrosecross.adapters import settings_watch
from primrosecross.domain import errors


@dataclasses.dataclass(frozen=True)
class _Settings:
    limit_ms: int = 1
    address: str = "a"


class SettingsWatchTest(unittest.TestCase):
    """Fields take effect, or are logged as needing a restart."""

    def setUp(self) -> None:
        self.loaded: _Settings | Exception = _Settings()
        self.applied: list[_Settings] = []
        self.watch = settings_watch.SettingsWatch(
            load=self._load,
            settings=_Settings(),
            live_fields=frozenset({"limit_ms"}),
            apply=self.applied.append,
        )

    def _load(self) -> _Settings:
        if isinstance(self.loaded, Exception):
            raise self.loaded
        return self.loaded

    def test_unchanged_settings_apply_nothing(self):
        self.watch.reload()
        self.assertEqual(self.applied, [])

    def test_live_field_takes_effect(self):
        self.loaded = _Settings(limit_ms=2)
        with self.assertLogs(settings_watch.__name__) as logs:
            self.watch.reload()
        self.assertEqual(self.applied, [self.loaded])
        self.assertIn("in force: limit_ms", logs.output[0])

    def test_other_field_is_logged_as_needing_a_restart(self):
        self.loaded = _Settings(address="b")
        with self.assertLogs(settings_watch.__name__) as logs:
            self.watch.reload()
            self.watch.reload()
        self.assertEqual(self.applied, [])
        self.assertEqual(len(logs.output), 1)
        self.assertIn("next start: address", logs.output[0])

    def test_broken_file_keeps_the_last_settings_and_is_logged_once(self):
        self.loaded = errors.SettingsError("broken", remedy="mend it")
        with self.assertLogs(settings_watch.__name__) as logs:
            self.watch.reload()
            self.watch.reload()
        self.assertEqual(self.watch.settings, _Settings())
        self.assertEqual(len(logs.output), 1)
        self.assertIn("mend it", logs.output[0])
        self.loaded = _Settings(limit_ms=3)
        self.watch.reload()
        self.assertEqual(self.applied, [self.loaded])
