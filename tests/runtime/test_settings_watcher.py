"""Changes of the settings file are applied to a running process."""

from lynxscale.runtime.settings_reader import load_settings
from lynxscale.runtime.settings_watcher import SettingsWatcher

TEXT = 'node-name = "n"\nip = "127.0.0.1"\nzone = "a"\ninternal-ports = [1, 2]\nseeds = ["127.0.0.1:1"]\n'


def test_only_a_usable_change_is_applied_and_once(tmp_path, monkeypatch):
    path = tmp_path / "s.toml"
    path.write_text(TEXT)
    monkeypatch.setenv("LYNXSCALE_SETTINGS", str(path))
    applied = []
    watcher = SettingsWatcher(load_settings(), applied.append)
    watcher.reload()
    path.write_text("node-name = ")
    watcher.reload()
    assert applied == []
    path.write_text(TEXT.replace('"a"', '"b"'))
    watcher.reload()
    watcher.reload()
    assert [settings.zone for settings in applied] == ["b"]


def test_an_error_in_the_application_of_a_change_does_not_end_the_process(tmp_path, monkeypatch, caplog):
    path = tmp_path / "s.toml"
    path.write_text(TEXT)
    monkeypatch.setenv("LYNXSCALE_SETTINGS", str(path))
    watcher = SettingsWatcher(load_settings(), lambda settings: 1 / 0)
    path.write_text(TEXT.replace('"a"', '"b"'))
    watcher.reload()
    assert "event=settings_not_applied" in caplog.text
