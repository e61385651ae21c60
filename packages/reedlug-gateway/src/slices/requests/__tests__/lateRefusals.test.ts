import { expect } from 'chai';
import {
  createServingBox,
  facts,
  ofType,
  only,
  type TestBox,
} from '../../../__tests__/__fixtures__/box.js';
import type { RequestFacts } from '../../../types/request.js';

/** Creates a box at whose engines `tokens` prompt tokens of the given urgency wait. */
function createBusyBox(tokens: number, urgency: number): TestBox {
  const box = createServingBox();
  // A new box assumes earlier admissions; they leave the limits' window within this time.
  box.pass(20_000);
  for (const view of box.state.servers.values()) {
    if (view.entry.service !== 'engines') continue;
    view.running = 5;
    view.unread = 40;
    view.prefillTokens = tokens;
    view.unreadByUrgency = Array.from({ length: urgency + 1 }, (_, index) =>
      index === urgency ? tokens : 0,
    );
  }
  return box;
}

function draftRequest(changes: Partial<RequestFacts> = {}): RequestFacts {
  const prompt = { promptTokens: 2000, maxOutputTokens: 10, deadlineMs: 8000 };
  return facts({ path: '/draft/1', ...prompt, ...changes });
}

test('a request that no engine can start in time is refused at once, and has not run', () => {
  const box = createBusyBox(200_000, 0);
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: draftRequest() });
  const { status, retryAfterMs } = only(effects, 'refuse');
  expect(status).to.equal(503);
  expect(retryAfterMs).to.be.within(500, 6250);
  expect(ofType(effects, 'send')).to.have.length(0);
  expect(box.state.requests.size).to.equal(0);
});

test('a request refused as too late counts against no limit', () => {
  const box = createBusyBox(200_000, 0);
  box.take({ type: 'requestArrived', exchangeId: 1, facts: draftRequest() });
  expect(box.state.quotas.get('tiger')?.admitted ?? 0).to.equal(0);
});

test('prompts of less urgent requests do not delay a more urgent one', () => {
  const box = createBusyBox(200_000, 9);
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: draftRequest() });
  expect(ofType(effects, 'send')).to.have.length(1);
});

test('a request whose caller has waited before is still sent', () => {
  const box = createBusyBox(90_000, 0);
  const first = box.take({ type: 'requestArrived', exchangeId: 1, facts: draftRequest() });
  expect(ofType(first, 'send')).to.have.length(0);
  const again = draftRequest({ requestId: 'request-2', deadlineMs: 6000 });
  const second = box.take({ type: 'requestArrived', exchangeId: 2, facts: again });
  expect(ofType(second, 'send')).to.have.length(1);
});
