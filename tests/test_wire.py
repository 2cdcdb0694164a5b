"""Tests of :mod:`ragwortcourse.platform.wire`."""

import pytest
from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict

from fakes.fleet_parts import ACCOUNT, make_permitted_call, make_target
from ragwortcourse.forwarding.answer_head import ReportedLoad
from ragwortcourse.forwarding.wire_format import Dispatch
from ragwortcourse.identifiers import AttemptId
from ragwortcourse.platform.wire import read_call, read_head, write_headers

pytestmark = pytest.mark.looptime
SENT = {
    'Host': 'desk.example:80',
    'Ragwortcourse-Attempt-Id': 'a1',
    'Ragwortcourse-Deadline-Ms': '6060',
    'Ragwortcourse-Model': 'drafts',
    'Ragwortcourse-Token-Count': '1460,80',
    'Ragwortcourse-Prompt-Prefix': '5c:800',
    'Ragwortcourse-Tenant': 'forged',
    'Ragwortcourse-Expect-Instance': 'forged',
    'Authorization': 'Bearer a-key',
    'Connection': 'keep-alive, X-Hop',
    'X-Hop': 'one',
    'X-Other': 'kept',
    'Last-Event-Id': '12',
}
MARKS = {
    'Ragwortcourse-Attempt-Id': 'a1',
    'Ragwortcourse-Server-Stamp': 's',
}


def read(**changes: str):
    """Read a call with some changed headers."""
    headers = {**SENT, **changes}
    return read_call(
        make_mocked_request('POST', '/letters/1%2F2?q=%20', headers=headers)
    )


class TestReadCall:
    """Reading of callers' requests."""

    async def test_fields(self):
        """Headers and path are decoded to typed fields."""
        call = read()
        assert call.attempt == 'a1'
        assert call.host == 'desk.example'
        assert call.path == '/letters/1%2F2'
        assert call.path_and_query == '/letters/1%2F2?q=%20'
        assert call.time_left == pytest.approx(6.06)
        assert call.key == 'a-key'
        assert (call.prompt_tokens, call.answer_tokens) == (1460, 80)
        assert call.last_event == '12'

    async def test_what_is_passed_on(self):
        """Keys, hop-by-hop and forwarder headers are removed, others kept."""
        headers = read().headers
        assert headers['X-Other'] == 'kept'
        assert headers['Host'] == 'desk.example:80'
        assert headers['Ragwortcourse-Prompt-Prefix'] == '5c:800'
        for name in (
            'Authorization',
            'Connection',
            'X-Hop',
            'Ragwortcourse-Tenant',
            'Ragwortcourse-Expect-Instance',
        ):
            assert name not in headers

    @pytest.mark.parametrize('text', ['', 'soon', '1e'])
    async def test_unreadable_deadline(self, text):
        """A deadline that is not a number is ignored."""
        assert read(**{'Ragwortcourse-Deadline-Ms': text}).time_left is None

    @pytest.mark.parametrize(
        'text', ['', 'many', '5', '-1,2', '9' * 400 + ',2', '9' * 5000]
    )
    async def test_unreadable_tokens(self, text):
        """Unreadable token counts are read as zero."""
        call = read(**{'Ragwortcourse-Token-Count': text})
        assert call.answer_tokens in {0, 2}
        assert call.prompt_tokens in {0, 5}

    @pytest.mark.parametrize(
        ('text', 'tokens'),
        [('60', 60), ('', None), ('0', None), ('x', None), ('9' * 5000, None)],
    )
    async def test_expected_tokens(self, text, tokens):
        """The caller's estimate is read and passed on, nonsense ignored."""
        call = read(**{'Ragwortcourse-Length-Hint': text})
        assert call.expected_tokens == tokens
        assert call.headers['Ragwortcourse-Length-Hint'] == text


class TestWriteHeaders:
    """Headers of requests to targets."""

    def test_own_headers(self):
        """Headers for target, account and remaining time are set."""
        dispatch = Dispatch(target=make_target(), time_left=1.5)
        headers = write_headers(make_permitted_call(), dispatch)
        assert headers['Ragwortcourse-Deadline-Ms'] == '1500'
        assert headers['Ragwortcourse-Expect-Instance'] == 't-1'
        assert headers['Ragwortcourse-Tenant'] == ACCOUNT.name
        assert 'Last-Event-Id' not in headers

    def test_resumed_stream(self):
        """The last event is sent, so that the stream resumes after it."""
        dispatch = Dispatch(target=make_target(), time_left=1, last_event='7')
        headers = write_headers(make_permitted_call(), dispatch)
        assert headers['Last-Event-Id'] == '7'

    def test_rank(self):
        """The priority header is set only for a dispatch with a rank."""
        dispatch = Dispatch(target=make_target(), time_left=1, rank=4)
        headers = write_headers(make_permitted_call(), dispatch)
        assert headers['Ragwortcourse-Request-Priority'] == '4'
        headers = write_headers(
            make_permitted_call(), Dispatch(target=make_target(), time_left=1)
        )
        assert 'Ragwortcourse-Request-Priority' not in headers

    def test_no_time_left(self):
        """The deadline sent to a target is at least 1 ms."""
        dispatch = Dispatch(target=make_target(), time_left=-1)
        headers = write_headers(make_permitted_call(), dispatch)
        assert headers['Ragwortcourse-Deadline-Ms'] == '1'


def head(status: int = 200, **changes: str):
    """Read the head of an answer to attempt ``a1``."""
    received = {
        name: text for name, text in {**MARKS, **changes}.items() if text
    }
    return read_head(status, CIMultiDict(received), AttemptId('a1'))


class TestReadHead:
    """Reading of the heads of targets' answers."""

    def test_good(self):
        """An answer with attempt id and stamp is genuine and ran."""
        assert head().genuine
        assert head().ran
        assert head().is_success

    @pytest.mark.parametrize(
        'changes',
        [
            {'Ragwortcourse-Attempt-Id': 'a0'},
            {'Ragwortcourse-Attempt-Id': ''},
            {'Ragwortcourse-Server-Stamp': ''},
            {'Content-Encoding': 'gzip'},
        ],
    )
    def test_not_genuine(self, changes):
        """Wrong attempt ids, missing marks and encodings are not genuine."""
        assert not head(**changes).genuine

    def test_not_run(self):
        """The not-executed header or status 421 means not run."""
        assert not head(503, **{'Ragwortcourse-Not-Executed': '1'}).ran
        assert not head(421).ran
        assert head(503).ran

    @pytest.mark.parametrize(
        ('named', 'ran'), [('a1', False), ('', False), ('a0', True)]
    )
    @pytest.mark.parametrize(('status', 'mark'), [(503, '1'), (421, '')])
    def test_refusal_of_another_request(self, status, mark, named, ran):
        """Only a refusal that names no other request means not run."""
        answer = head(
            status,
            **{
                'Ragwortcourse-Attempt-Id': named,
                'Ragwortcourse-Not-Executed': mark,
            },
        )
        assert answer.ran is ran
        assert not (answer.ran and answer.speaks_for_target)

    def test_load(self):
        """The reported load is decoded."""
        assert head(**{'Ragwortcourse-Server-Load': '3, 1,8'}).load == (
            ReportedLoad(running=3, waiting=1, slots=8)
        )

    def test_pace(self):
        """The loads of targets that report their pace are not dropped."""
        assert head(**{'Ragwortcourse-Server-Load': '3, 1,12, 250'}).load == (
            ReportedLoad(running=3, waiting=1, slots=12, pace=2.5)
        )

    @pytest.mark.parametrize('text', ['', '3', '3,1', 'a,b,c', '1,2,3,4,5'])
    def test_unreadable_load(self, text):
        """An unreadable load is ignored."""
        assert head(**{'Ragwortcourse-Server-Load': text}).load is None

    @pytest.mark.parametrize(
        'text',
        [
            *('1,2,3,' + pace for pace in ('', 'x', '0', '-9', 'nan', '1e9')),
            '9' * 5000 + ',2,3',
        ],
    )
    def test_load_out_of_bounds(self, text, caplog):
        """A figure that no target can mean is neither believed nor hidden."""
        assert head(**{'Ragwortcourse-Server-Load': text}).load is None
        assert 'unreadable load of a target ignored' in caplog.text

    def test_version_and_cold(self):
        """Weights version and remaining cold time are decoded."""
        answer = head(
            **{
                'Ragwortcourse-Weight-Versions': '3',
                'Ragwortcourse-Cold-Ms': '1500',
            }
        )
        assert answer.version == 3
        assert answer.cold_seconds == pytest.approx(1.5)


class TestReadRateLimit:
    """Limits that targets name in their answers."""

    @pytest.mark.parametrize(
        ('named', 'rate', 'readable'),
        [
            (None, None, True),
            ('1.8', 1.8, True),
            ('0', 0, True),
            ('-1', None, False),
            ('nan', None, False),
            ('inf', None, False),
            ('', None, False),
        ],
    )
    def test_read(self, named, rate, readable):
        """A decimal number that is not negative is a limit."""
        received = {} if named is None else {'Server-Limit': named}
        head = read_head(200, CIMultiDict(received), AttemptId('a1'))
        assert head.rate_limit == rate
        assert head.rate_limit_readable is readable

    def test_misdirected(self):
        """A target that answers for another one says nothing about it."""
        received = CIMultiDict({**MARKS, 'Server-Limit': '1'})
        assert read_head(200, received, AttemptId('a1')).speaks_for_target
        assert not read_head(421, received, AttemptId('a1')).speaks_for_target


class TestReadRest:
    """Times for which targets want no requests."""

    @pytest.mark.parametrize(
        ('named', 'seconds'),
        [
            (None, None),
            ('3', 3),
            ('0.25', 0.25),
            ('0', 0),
            ('1e9', 1e9),
            ('-1', None),
            ('nan', None),
            ('inf', None),
            (' ', None),
            ('Wed, 21 Oct 2026 07:28:00 GMT', None),
        ],
    )
    def test_read(self, named, seconds, caplog):
        """A number of seconds that is not negative is a rest."""
        received = {} if named is None else {'Retry-After': named}
        answer = head(503, **received)
        assert answer.rest_seconds == seconds
        is_unreadable = named is not None and seconds is None
        assert len(caplog.records) == is_unreadable

    @pytest.mark.parametrize('status', [200, 429, 500])
    def test_other_statuses(self, status):
        """Only a target that answers 503 asks for rest."""
        assert head(status, **{'Retry-After': '3'}).rest_seconds is None

    def test_answer_to_another_request(self):
        """An answer with another attempt id says nothing."""
        other = {'Ragwortcourse-Attempt-Id': 'a0', 'Retry-After': '3'}
        assert head(503, **other).rest_seconds is None


class TestReadLeaving:
    """Targets that say in their answers that they leave."""

    @pytest.mark.parametrize(
        ('text', 'leaving', 'lines'),
        [('1', True, 0), ('0', False, 0), (' ', False, 1), ('soon', False, 1)],
    )
    def test_read(self, text, leaving, lines, caplog):
        """Only ``1`` says it; anything but a digit is logged."""
        assert head(**{'Server-Leaving': text}).leaving is leaving
        assert len(caplog.records) == lines

    @pytest.mark.parametrize('status', [200, 429, 500, 503])
    def test_any_status(self, status):
        """Each answer says it, whatever its status."""
        assert head(status, **{'Server-Leaving': '1'}).leaving
        assert not head(status).leaving
