"""Tests of ``ragwortcourse explain --logs``."""

import json

import pytest
from click.testing import CliRunner

from ragwortcourse.cli.program import main


def make_line(at: int, daemon: str, message: str, **fields: object) -> str:
    """Make one line of a daemon's log."""
    known = {'at': f'2026-05-29 00:03:{at:02}', 'daemon': daemon}
    return json.dumps({**known, 'message': message, **fields})


FIRST_FILE = [
    make_line(1, 'edge-1', 'store lost', table='op'),
    make_line(5, 'edge-1', 'no answer', request='a1', target='i-1'),
    'Traceback (most recent call last):',
    make_line(7, 'edge-1', 'answered', request='a1', status=200),
    make_line(8, 'edge-1', 'store regained', table='op'),
]
SECOND_FILE = [
    f'host-2 | {make_line(6, "edge-2", "refused", request="a1", status=503)}',
    make_line(3, 'edge-2', 'weights named', version=2),
    make_line(3, 'edge-3', 'target listed', target='i-9'),
    make_line(4, 'edge-2', 'refused', request='other'),
    '{"at": "cut',
]


@pytest.fixture(name='explain')
def make_explain(tmp_path):
    """Return a function that runs ``explain`` on two log files."""
    paths = []
    for number, lines in enumerate((FIRST_FILE, SECOND_FILE)):
        path = tmp_path / f'{number}.log'
        path.write_text('\n'.join(lines))
        paths.append(str(path))

    def explain(request: str, *options: str):
        logs = [word for path in paths for word in ('--logs', path)]
        return CliRunner().invoke(main, ['explain', request, *logs, *options])

    return explain


class TestExplainFromLogs:
    """Lines of log files that ``explain`` selects."""

    def test_all_daemons_in_order(self, explain):
        """Lines of all daemons are merged in order of time."""
        output = explain('a1', '--beliefs', '0').output
        places = [
            output.index(text) for text in ('no answer', 'refused', 'answered')
        ]
        assert places == sorted(places)
        assert 'store lost' not in output

    def test_beliefs(self, explain):
        """Lines about no request come before those about the request.

        Only lines of daemons that handled the request, from before it, are
        shown.
        """
        output = explain('a1').output
        assert output.index('store lost') < output.index('no answer')
        assert 'weights named' in output
        assert 'store regained' not in output
        assert 'target listed' not in output

    def test_other_requests(self, explain):
        """Lines about other requests are left out."""
        assert 'other' not in explain('a1').output

    def test_json(self, explain):
        """JSON output keeps every field."""
        lines = json.loads(explain('a1', '--beliefs', '0', '--json').output)
        assert [line['daemon'] for line in lines] == [
            'edge-1',
            'edge-2',
            'edge-1',
        ]
        assert lines[1]['status'] == 503

    def test_unknown(self, explain):
        """A request without log lines is an error."""
        result = explain('nobody')
        assert result.exit_code != 0
        assert 'no_record' in result.output
