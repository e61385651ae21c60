import { expect } from 'chai';
import { expectedBody, findViolations } from '../guarantees.js';
import { CallKind, createSoakRecord, type Call, type SoakRecord } from '../soakRecord.js';

const BOUNDS = {
  configurationMs: 2000,
  drainMs: 2000,
  recoveryMs: 3000,
  limited: { key: 'key-9', windowMs: 4000, runs: 2 },
};

function call(changes: Partial<Call> = {}): Call {
  const requestId = changes.requestId ?? 'r1';
  return {
    requestId,
    kind: CallKind.lookup,
    box: 0,
    key: 'key-0',
    sentAtMs: 10_000,
    endedAtMs: 10_050,
    status: 200,
    body: expectedBody(requestId),
    isWhole: true,
    version: undefined,
    ...changes,
  };
}

/** A record of one call that ran once, with changes. */
function recordOfCall(
  onlyCall: Call,
  adjust: (record: SoakRecord) => void = () => undefined,
): SoakRecord {
  const record = createSoakRecord(2);
  record.calls.push(onlyCall);
  record.runs.push({
    requestId: onlyCall.requestId,
    server: 'records-0-0',
    atMs: 10_010,
    ran: true,
    life: 0,
  });
  adjust(record);
  return record;
}

function violatedGuarantees(record: SoakRecord): string[] {
  return findViolations(record, BOUNDS).map(({ promise }) => promise);
}

function draftBody(...ids: readonly number[]): string {
  return ids.map((id) => `id: ${id}\ndata: r1 drafts-0-0\n\n`).join('');
}

test('a run in good order breaks nothing', () => {
  expect(violatedGuarantees(recordOfCall(call()))).to.deep.equal([]);
});

test('a notice that runs twice is found', () => {
  const record = recordOfCall(call({ kind: CallKind.notice }), ({ runs }) => {
    runs.push({ requestId: 'r1', server: 'records-1-0', atMs: 10_020, ran: true, life: 0 });
  });
  expect(violatedGuarantees(record)).to.deep.equal(['at most once']);
});

test('a refusal of a request that ran is found', () => {
  expect(violatedGuarantees(recordOfCall(call({ status: 503 })))).to.deep.equal([
    'truthful refusal',
  ]);
});

test('an answer that belongs to another request is found', () => {
  const record = recordOfCall(call({ body: expectedBody('r2') }));
  expect(violatedGuarantees(record)).to.deep.equal(['own whole answer']);
});

test('a success that no server made is found', () => {
  const record = recordOfCall(call(), (built) => void (built.runs.length = 0));
  expect(violatedGuarantees(record)).to.deep.equal(['own answer']);
});

test('a stream with a gap, a repeat or an early end is found', () => {
  for (const ids of [[1, 3], [1, 1, 2], [1]]) {
    const record = recordOfCall(call({ kind: CallKind.draft, body: draftBody(...ids) }));
    expect(violatedGuarantees(record), ids.join()).to.deep.equal(['gapless stream']);
  }
  const complete = recordOfCall(call({ kind: CallKind.draft, body: draftBody(1, 2) }));
  expect(violatedGuarantees(complete)).to.deep.equal([]);
});

test('a request to a server that left is found, unless the box was out of touch', () => {
  const markDraining = (record: SoakRecord): void => void record.leftAtMs.set('records-0-0', 7000);
  expect(violatedGuarantees(recordOfCall(call(), markDraining))).to.deep.equal([
    'nothing to a leaving server',
  ]);
  const duringOutage = recordOfCall(call(), (record) => {
    markDraining(record);
    record.troubles.set(0, [{ fromMs: 8000, toMs: 8500 }]);
  });
  expect(violatedGuarantees(duringOutage)).to.deep.equal([]);
});

test('a configuration that is not in force in time is found', () => {
  const probe = call({ kind: CallKind.probe, status: 404, version: 4, body: '' });
  const record = recordOfCall(probe, ({ configuredAtMs }) => void configuredAtMs.set(4, 7000));
  expect(violatedGuarantees(record)).to.deep.equal(['configuration in force']);
});

test('a key that is served after it was taken away is found', () => {
  const record = recordOfCall(call(), ({ revokedAtMs }) => void revokedAtMs.set('key-0', 7000));
  expect(violatedGuarantees(record)).to.deep.equal(['revoked keys']);
});

test('a call that a planned stop cuts is found', () => {
  const cut = call({ status: undefined, isWhole: false, body: '' });
  const stop = { fromMs: 10_020, toMs: 12_000 };
  const record = recordOfCall(cut, ({ stops, troubles }) => {
    stops.set(0, [stop]);
    troubles.set(0, [stop]);
  });
  expect(violatedGuarantees(record)).to.deep.equal(['a planned stop cuts nothing']);
});

test('two reports of a window and two holders of a fence are found', () => {
  const record = recordOfCall(call(), ({ reports }) => {
    reports.push({ window: 7, counts: '[["tiger",3]]', holder: 'box-0', fence: 1 });
    reports.push({ window: 7, counts: '[["tiger",4]]', holder: 'box-1', fence: 1 });
  });
  expect(violatedGuarantees(record)).to.deep.equal(['one report a window', 'one holder a fence']);
});

test('a workspace that gets more runs than its limit in a window is found, repeats too', () => {
  const record = recordOfCall(call({ key: 'key-9' }), ({ runs }) => {
    runs.push({ requestId: 'r1', server: 'records-1-0', atMs: 13_000, ran: true, life: 0 });
  });
  expect(violatedGuarantees(record)).to.deep.equal([]);
  record.runs.push({ requestId: 'r1', server: 'records-1-0', atMs: 13_900, ran: true, life: 0 });
  expect(violatedGuarantees(record)).to.deep.equal(['limits over all boxes']);
});

test('a request that goes on being sent after the third server ended under it is found', () => {
  const crashing = (requestId: string, sentAtMs: number): Call =>
    call({ requestId, kind: CallKind.crashing, sentAtMs, status: 502, body: '' });
  const violationsAfter = (sends: number, box = 0): string[] => {
    const record = createSoakRecord(2);
    record.crashesAtMs.push(1000, 1100, 1500);
    for (let index = 0; index < sends; index += 1) {
      const requestId = `c${index}`;
      const atMs = 8000 + index;
      record.calls.push({ ...crashing(requestId, atMs), box });
      record.runs.push({ requestId, server: 'records-0-0', atMs, ran: true, life: 0 });
    }
    record.troubles.set(1, [{ fromMs: 6000, toMs: 6500 }]);
    return violatedGuarantees(record);
  };
  expect(violationsAfter(4)).to.deep.equal(['a request that crashes servers is kept out']);
  expect(violationsAfter(3)).to.deep.equal([]);
  expect(violationsAfter(4, 1)).to.deep.equal([]);
});

test('another request that is refused for the crashes is found', () => {
  const refused = call({ status: 500, body: '{"error":"crashesServers"}', isWhole: false });
  const record = recordOfCall(refused);
  expect(violatedGuarantees(record)).to.deep.equal(['no other is kept out']);
});

test('a server that gets more than the limit it names is found, from boxes that were told', () => {
  const violationsWith = (
    sends: number,
    adjust: (record: SoakRecord) => void = () => undefined,
  ) => {
    const record = createSoakRecord(2);
    for (let turn = 0; turn < sends + 1; turn += 1) {
      const requestId = `r${turn}`;
      const sentAtMs = turn === 0 ? 5000 : 12_000 + turn * 100;
      record.calls.push(call({ requestId, sentAtMs, endedAtMs: sentAtMs + 20 }));
      const run = { requestId, server: 'records-0-0', atMs: sentAtMs + 5, ran: true, life: 0 };
      record.runs.push({ ...run, limitPerSecond: 1 });
    }
    adjust(record);
    return violatedGuarantees(record);
  };
  expect(violationsWith(11)).to.deep.equal([]);
  expect(violationsWith(12)).to.deep.equal(['limits of servers']);
  const restarted = [{ fromMs: 10_000, toMs: 10_500 }];
  expect(violationsWith(12, ({ troubles }) => troubles.set(0, restarted))).to.deep.equal([]);
});

/** Calls of one box to one server, one a second, with what the server said at some of them. */
function recordOfCalls(
  statementsAt: Readonly<Record<number, Partial<SoakRecord['runs'][number]>>>,
) {
  const record = createSoakRecord(2);
  for (let second = 0; second < 10; second += 1) {
    const requestId = `q${second}`;
    const sentAtMs = second * 1000;
    record.calls.push(call({ requestId, sentAtMs, endedAtMs: sentAtMs + 50 }));
    const run = { requestId, server: 'records-0-0', atMs: sentAtMs + 10, ran: true, life: 0 };
    record.runs.push({ ...run, ...statementsAt[second] });
  }
  return record;
}

test('requests at a server that had told their box that it leaves are found', () => {
  const record = recordOfCalls({ 2: { saysLeaving: true } });
  expect(violatedGuarantees(record)).to.deep.equal(['nothing to a server that says it leaves']);
  record.interruptions.set(0, [{ fromMs: 3000, toMs: 3500 }]);
  expect(violatedGuarantees(record)).to.deep.equal([]);
});

test('requests at the next life of a server that had left are none', () => {
  const next = { life: 1 };
  const statementsAt = { 2: { saysLeaving: true }, 5: next, 6: next, 7: next, 8: next, 9: next };
  expect(violatedGuarantees(recordOfCalls(statementsAt))).to.deep.equal([]);
});

test('more than two requests of a box in the rest that a server asked it for are found', () => {
  const refused = { ran: false, restSeconds: '5' };
  const record = recordOfCalls({ 2: refused });
  record.calls[2] = call({ requestId: 'q2', sentAtMs: 2000, status: 503, body: '' });
  expect(violatedGuarantees(record)).to.deep.equal(['rests of servers']);
  record.linkTroubles.push({ fromMs: 1900, toMs: 2100 });
  expect(violatedGuarantees(record)).to.deep.equal([]);
});

test('a rest of two more requests, or of an odd time, is no broken one', () => {
  for (const restSeconds of ['3', 'soon', '-1']) {
    const record = recordOfCalls({ 2: { ran: false, restSeconds } });
    record.calls[2] = call({ requestId: 'q2', sentAtMs: 2000, status: 503, body: '' });
    expect(violatedGuarantees(record), restSeconds).to.deep.equal([]);
  }
});
