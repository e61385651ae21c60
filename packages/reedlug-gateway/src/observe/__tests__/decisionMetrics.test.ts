import { expect } from 'chai';
import { createServingBox, facts, ofType, settings } from '../../__tests__/__fixtures__/box.js';
import type { RequestFacts } from '../../types/request.js';
import { recordWork } from '../../slices/workspaceShares/workSums.js';
import { setDecisionMetrics } from '../decisionMetrics.js';
import { countEvent, createGatewayMetrics } from '../gatewayMetrics.js';

test('metrics contain the model, the need for engines and the use of limits', async () => {
  const box = createServingBox();
  box.pass(10_000);
  const request = facts({ path: '/draft/1', promptTokens: 900, maxOutputTokens: 100 });
  box.take({ type: 'requestArrived', exchangeId: 1, facts: request });
  box.pass(300);
  const metrics = createGatewayMetrics();
  setDecisionMetrics(metrics.figures, box.state, box.nowMs);
  const text = await metrics.text();
  expect(text).to.match(/reedlug_service_model\{service="engines",figure="tokensPerMs"\} 60/);
  expect(text).to.match(/reedlug_service_capacity\{service="engines",figure="openRequests"\} 1/);
  expect(text).to.match(/reedlug_service_capacity\{service="engines",figure="usual"\} 4/);
  expect(text).to.match(/reedlug_limit_units\{workspace="tiger",figure="used"\} 1000/);
  expect(text).not.to.match(/NaN|Infinity/);
});

test('metrics contain the recent work of a service whose capacity is shared, and how many are over their shares', async () => {
  const box = createServingBox(settings({}, { shareCapacity: true }));
  box.pass(10_000);
  const request = { service: 'engines', workspace: 'tiger', facts: facts({ promptTokens: 900 }) };
  for (const isAdmitted of [true, false]) {
    recordWork(box.state, request, { prefillTokens: 3000, isAdmitted }, box.nowMs);
  }
  const metrics = createGatewayMetrics();
  setDecisionMetrics(metrics.figures, box.state, box.nowMs);
  const text = await metrics.text();
  expect(text).to.match(/reedlug_service_work\{service="engines",figure="requested"\} 1386/);
  expect(text).to.match(/reedlug_service_work\{service="engines",figure="admitted"\} 693/);
  expect(text).to.match(/reedlug_service_work\{service="engines",figure="workspacesOver"\} 1/);
});

test('sends that were placed by size are counted by outcome and request', async () => {
  const metrics = createGatewayMetrics();
  const sent = { placement: 'inTime', neededSpeed: '0.00', leavesRoom: false };
  countEvent(metrics, 'requestSent', {});
  countEvent(metrics, 'requestSent', { ...sent, leavesRoom: true });
  countEvent(metrics, 'requestSent', { ...sent, placement: 'late', neededSpeed: '1.20' });
  const text = await metrics.text();
  expect(text).to.match(/placements_total\{outcome="inTime",request="leavesRoom"\} 1/);
  expect(text).to.match(/placements_total\{outcome="late",request="large"\} 1/);
  expect(text).not.to.match(/placements_total\{outcome="inTime",request="other"\}/);
});

test('metrics contain the extremes of the speeds of a service, and none while no speeds are learned', async () => {
  const textOf = async (isOn: boolean): Promise<string> => {
    const box = createServingBox(settings({}, { learnServerSpeeds: isOn }));
    for (const [id, observedMs] of [
      ['engine-1', 60_000],
      ['engine-2', 20_000],
    ] as const) {
      const sums = {
        evenExpectedMs: 30_000,
        evenObservedMs: observedMs,
        oddExpectedMs: 30_000,
        oddObservedMs: observedMs,
      };
      box.state.serverSpeeds.own.set(id, { bornAtMs: undefined, sums, atMs: 1000 });
    }
    box.pass(1000);
    const metrics = createGatewayMetrics();
    setDecisionMetrics(metrics.figures, box.state, box.nowMs);
    return metrics.text();
  };
  const text = await textOf(true);
  expect(text).to.match(/reedlug_server_speeds\{service="engines",figure="inUse"\} 1/);
  expect(text).to.match(/reedlug_server_speeds\{service="engines",figure="slowest"\} 0\.[67]/);
  expect(text).to.match(/reedlug_server_speeds\{service="engines",figure="fastest"\} [12]\./);
  expect(await textOf(false)).not.to.contain('reedlug_server_speeds{');
});

// Without it, refusals of streams that go on after a loss of all boxes can't be told from those of new requests.
test('streams that are taken up are counted by the reason why they do not go on', async () => {
  const box = createServingBox();
  const metrics = createGatewayMetrics();
  const ask = (exchangeId: number, changes: Partial<RequestFacts>): void => {
    const request = facts({ requestId: `r${exchangeId}`, path: '/draft/1', ...changes });
    const effects = box.take({ type: 'requestArrived', exchangeId, facts: request });
    for (const { event, fields } of ofType(effects, 'log')) countEvent(metrics, event, fields);
  };
  const hugeTokens = { promptTokens: 1_000_000, maxOutputTokens: 0 };
  ask(1, { key: 'unknown', lastEventId: 3, resumedRequestId: 'r0' });
  ask(2, { key: 'unknown', lastEventId: 3 });
  ask(3, hugeTokens);
  const text = await metrics.text();
  expect(text).to.match(/reedlug_taken_up_streams_total\{outcome="unknownKey"\} 2/);
  expect(text).not.to.match(/reedlug_taken_up_streams_total\{outcome="overLimit"\}/);
});
