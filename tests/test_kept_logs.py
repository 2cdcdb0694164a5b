"""Tests of :mod:`fakes.kept_logs`."""

from fakes.kept_logs import keep_logs


class TestKeepLogs:
    """Copies of the logs of failed runs."""

    def test_apart(self, tmp_path):
        """A later run of the same test does not replace the earlier logs."""
        source = tmp_path / 'run'
        source.mkdir()
        folders = []
        for text in ('first', 'second'):
            (source / 'entry-1.log').write_text(text)
            (source / 'entry-1.toml').write_text('')
            folders.append(
                keep_logs(
                    source=source, kept=tmp_path / 'kept', name='a.py::B::c[1]'
                )
            )
        read = [(folder / 'entry-1.log').read_text() for folder in folders]
        assert read == ['first', 'second']
        assert all(len(list(folder.iterdir())) == 1 for folder in folders)

    def test_nothing_written(self, tmp_path):
        """A run without logs creates no folder."""
        kept = tmp_path / 'kept'
        assert keep_logs(source=tmp_path, kept=kept, name='a') is None
        assert not kept.exists()
