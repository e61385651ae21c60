import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  listBoxesAfterRestart,
  ofType,
  only,
  settings,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { GatewaySettings } from '../../../types/settings.js';

/** Share of the users' limit that is used. */
const USED_SHARE = 0.98;

/**
 * Sends requests of the given prompt tokens at once to the only box of a fleet; returns which were
 * admitted. In a window of 8 s the workspace may use 90,000 tokens, half of them at one moment.
 */
function admitted(
  tokens: readonly number[],
  bounds: Partial<GatewaySettings['bounds']> = {},
): boolean[] {
  const box = createServingBox(settings({ limitOverShare: 0, ...bounds }));
  box.pass(10_000);
  return tokens.map((promptTokens, index) => ask(box, index, promptTokens));
}

function ask(box: TestBox, exchangeId: number, promptTokens: number): boolean {
  const request = facts({ requestId: `r${exchangeId}`, promptTokens, maxOutputTokens: 0 });
  const event = { type: 'requestArrived' as const, exchangeId, facts: request };
  return ofType(box.take(event), 'send').length === 1;
}

test('requests within the burst of the window are admitted at once', () => {
  expect(admitted([20_000, 20_000, 4000])).to.deep.equal([true, true, true]);
});

test('over the length of a window its whole limit is admitted, and no more', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  let units = 0;
  for (let second = 0; second < 8; second += 1) {
    for (let at = 0; at < 12; at += 1) {
      if (ask(box, second * 12 + at, 1000)) units += 1000;
    }
    box.pass(1000);
  }
  expect(units).to.be.within(80_000, 90_000 * USED_SHARE);
});

test('a request larger than the spare units is refused and does not block smaller ones', () => {
  expect(admitted([40_000, 5000, 4000])).to.deep.equal([true, false, true]);
});

test('the tolerance is used before a request is refused', () => {
  expect(admitted([40_000, 10_000])).to.deep.equal([true, false]);
  expect(admitted([40_000, 10_000], { limitSlackUnits: 20_000 })).to.deep.equal([true, true]);
  expect(admitted([40_000, 8000], { limitOverShare: 0.1 })).to.deep.equal([true, true]);
  expect(admitted([40_000, 9000], { limitOverShare: 0.1 })).to.deep.equal([true, false]);
});

test('a refused request gets the time at which it fits, spread among those refused together', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  box.pass(10_000);
  expect(ask(box, 1, 44_000)).to.equal(true);
  const times = [3, 4, 5, 6].map((exchangeId) => {
    const request = facts({
      requestId: `r${exchangeId}`,
      promptTokens: 10_000,
      maxOutputTokens: 0,
    });
    const effects = box.take({ type: 'requestArrived', exchangeId, facts: request });
    const refusal = ofType(effects, 'refuse')[0];
    expect(refusal?.status).to.equal(429);
    return refusal?.retryAfterMs ?? 0;
  });
  // 5,378 units a second flow in addition to the burst of 44,100.
  for (const ms of times) expect(ms).to.be.within(1800, 2100 * 1.25);
  expect(new Set(times).size).to.be.greaterThan(2);
});

test('a restarted box counts its burst as sent and starts with the flow', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  box.state.part.opening = undefined;
  listBoxesAfterRestart(box);
  expect(ask(box, 1, 1000)).to.equal(false);
  box.pass(1700);
  expect(ask(box, 2, 5000)).to.equal(true);
  expect(ask(box, 3, 3000)).to.equal(false);
  box.pass(8000);
  expect(ask(box, 4, 30_000)).to.equal(true);
});

test('a box without a share sends no units of a limit', () => {
  const box = createServingBox();
  box.state.part.opening = undefined;
  expect(ask(box, 1, 100)).to.equal(false);
});

test('a further send is charged again only if the earlier one may have run', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  const request = facts({
    requestId: 'r1',
    path: '/draft/1',
    promptTokens: 20_000,
    deadlineMs: 8000,
  });
  const first = only(box.take({ type: 'requestArrived', exchangeId: 1, facts: request }), 'send');
  const spent = () => box.state.quotas.get('tiger')?.admitted;
  const ids = { exchangeId: 1, attemptId: first.attemptId };
  const again = box.take({ type: 'attemptNotSent', ...ids, reason: 'refused' });
  expect(spent()).to.equal(20_000);
  const { attemptId } = only(again, 'send');
  box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'reset' });
  expect(spent()).to.equal(40_000);
});

test('a send whose server was not reached in time is charged once, at the time of the later send', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  const ask = { path: '/draft/1', promptTokens: 20_000, maxOutputTokens: 0, deadlineMs: 8000 };
  const request = facts({ requestId: 'r1', ...ask });
  const first = only(box.take({ type: 'requestArrived', exchangeId: 1, facts: request }), 'send');
  box.pass(400);
  const ids = { exchangeId: 1, attemptId: first.attemptId };
  const again = box.take({ type: 'attemptNotSent', ...ids, reason: 'timeout' });
  expect(ofType(again, 'send')).to.have.length(1);
  const { charged } = box.state.quotas.get('tiger') ?? {};
  expect(charged?.total).to.equal(20_000);
  expect(
    charged?.buckets.filter(({ units }) => units > 0).map(({ startMs }) => startMs),
  ).to.deep.equal([400]);
});

test('a further send beyond the limit ends the request', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  const request = facts({
    requestId: 'r1',
    path: '/draft/1',
    promptTokens: 30_000,
    deadlineMs: 8000,
  });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  const { attemptId } = only(effects, 'send');
  const lost = box.take({ type: 'attemptLost', exchangeId: 1, attemptId, reason: 'reset' });
  expect(ofType(lost, 'send')).to.have.length(0);
  expect(only(lost, 'refuse').status).to.equal(502);
});

test('a server failure goes to the caller if the limit allows no further send', () => {
  const box = createServingBox(settings({ limitOverShare: 0 }));
  const ask = { path: '/draft/1', promptTokens: 30_000, maxOutputTokens: 0, deadlineMs: 8000 };
  const request = facts({ requestId: 'r1', ...ask });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  const { attemptId } = only(effects, 'send');
  const ids = { exchangeId: 1, attemptId };
  const failed = box.take({ type: 'attemptAnswered', ...ids, verdict: 'failure', status: 500 });
  expect(only(failed, 'relay').part).to.equal('whole');
  expect(ofType(failed, 'refuse')).to.have.length(0);
});

test('a limit of zero is no limit', () => {
  const box = createServingBox();
  const workspaces = configuration().workspaces.map((known) => ({
    ...known,
    ratePerSecond: 0,
    burst: 0,
  }));
  const source = 'store' as const;
  const changed = { ...configuration(), version: 2, workspaces };
  box.take({ type: 'configurationRead', configuration: changed, source });
  const request = facts({ promptTokens: 900_000, maxOutputTokens: 0 });
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  expect(ofType(effects, 'send')).to.have.length(1);
});
