import { expect } from 'chai';
import { explainRequest, parseLogLine } from '../explainRequest.js';

const LOG = `
time=2026-04-05T06:06:34.103Z event=streamCut box=box-2 request=r1 route=draft reason=connectionClosed attempts=1 lastEvent=1 heldMs=143
time=2026-04-05T06:06:33.960Z event=requestSent box=box-2 request=r1 route=draft server=i-1 attempt=1 costMs=39
time=2026-04-05T06:06:33.970Z event=requestSent box=box-2 request=r10 route=draft server=i-2 attempt=1 costMs=39
time=2026-04-05T06:06:32.087Z event=limitReached box=box-1 request=r2 workspace=tiger units=900 used=89500 allowed=90000 heardShare=1
time=2026-04-05T06:06:32.088Z event=requestRefused box=box-1 request=r2 status=429 reason=overLimit retryAfterMs=100
not a line of ours
`;

test('a stream that was cut is explained by its lines in order of time', () => {
  const explanation = explainRequest(LOG, 'r1');
  expect(explanation?.lines.map(({ event }) => event)).to.deep.equal(['requestSent', 'streamCut']);
  expect(explanation?.cause).to.equal('cut after event 1 (connectionClosed); sent to i-1');
});

test('a refused request is explained', () => {
  const cause = explainRequest(LOG, 'r2')?.cause;
  const account = '900 units beside 89500 of 90000';
  expect(cause).to.equal(`refused with 429 (overLimit): ${account}; it was sent to no server`);
});

test('the speed that the expected time of the last send rests on is explained unless it is 1', () => {
  const sent = 'event=requestSent request=r5 server=i-7 expectedMs=1190';
  const finished = 'time=t2 event=requestFinished request=r5 outcome=success heldMs=1300';
  const causeAt = (speed: string): string | undefined =>
    explainRequest(`time=t1 ${sent} speed=${speed} speedAgeMs=400\n${finished}`, 'r5')?.cause;
  expect(causeAt('0.70')).to.contain('sent to i-7 at speed 0.70 (expected 1190 ms)');
  expect(causeAt('1.00')).to.match(/sent to i-7$/);
});

test('a stream that is taken up is explained by what was known of its version', () => {
  const log = `
time=t1 event=streamTakenUp request=r6 resumes=r5 lastEvent=12 version=v1 source=box-2 ageMs=340
time=t1 event=requestSent request=r6 server=i-3 version=v1
time=t2 event=requestFinished request=r6 outcome=success heldMs=900
time=t1 event=streamVersionUnknown request=r7 versions="v1 v2" table=read unanswered=1 heldMs=300
time=t1 event=requestRefused request=r7 status=503 reason=streamVersionUnknown retryAfterMs=1000
`;
  expect(explainRequest(log, 'r6')?.cause).to.contain(
    'takes up r5 after event 12, version v1 as known from box-2 for 340 ms',
  );
  expect(explainRequest(log, 'r7')?.cause).to.contain(
    'it may have begun at version v1 or v2, table read, 1 boxes silent',
  );
});

test('a request that no line mentions is not explained', () => {
  expect(explainRequest(LOG, 'r3')).to.equal(undefined);
});

test('a quoted value is parsed completely', () => {
  const line = parseLogLine('time=t event=fault reason="two words"');
  expect(line?.fields.get('reason')).to.equal('two words');
});

test('a refusal for lack of capacity is explained by the standing of its workspace', () => {
  const log = `
time=2026-04-05T06:06:32.087Z event=requestTooLate request=r7 expectedMs=450 limitMs=300 standing=over yieldsTo=
time=2026-04-05T06:06:32.088Z event=requestRefused request=r7 status=503 reason=tooLate retryAfterMs=700
time=2026-04-05T06:06:33.087Z event=requestTooLate request=r8 expectedMs=250 limitMs=300 standing=over yieldsTo=urgentRefused
time=2026-04-05T06:06:33.088Z event=requestRefused request=r8 status=503 reason=tooLate retryAfterMs=700
`;
  const cause = (requestId: string) => explainRequest(log, requestId)?.cause;
  expect(cause('r7')).to.equal(
    'refused with 503 (tooLate): 450 ms expected, up to 300 ms accepted, workspace over its share; it was sent to no server',
  );
  expect(cause('r8')).to.contain('over its share, yields to others (urgentRefused)');
});

test('a refusal with reservations names what was withheld and when the caller returns', () => {
  const log = [
    'time=2026-04-05T06:06:32.087Z event=limitReached request=r4 units=900 used=80 allowed=90 reservedBefore=4000 withheld=70 announced=200',
    'time=2026-04-05T06:06:32.088Z event=unitsReserved request=r4 units=900 dueInMs=450',
    'time=2026-04-05T06:06:32.089Z event=requestRefused request=r4 status=429 reason=overLimit',
  ].join('\n');
  expect(explainRequest(log, 'r4')?.cause).to.equal(
    'refused with 429 (overLimit): 900 units beside 80 of 90, 70 withheld for 4000 reserved before it, ' +
      '200 announced elsewhere; reserved for its return in 450 ms; it was sent to no server',
  );
});

test('a request that was placed by its size is explained with what it needed', () => {
  const log = `
time=2026-04-05T06:06:33.960Z event=requestSent request=r4 server=i-1 expectedMs=1190 placement=late targetLeftMs=1000 waitMs=1204 neededSpeed=1.16 speed=0.71 evaluated=9 leavesRoom=false chargeShare=0.120 loadAgeMs=140
time=2026-04-05T06:06:35.103Z event=requestFinished request=r4 outcome=success heldMs=1143
`;
  const placement = 'placement late: needs speed 1.16, expected 1204 of 1000 ms, loads 140 ms old';
  expect(explainRequest(log, 'r4')?.cause).to.equal(
    `answered with success after 1143 ms; sent to i-1 at speed 0.71 (expected 1190 ms) (${placement})`,
  );
});
