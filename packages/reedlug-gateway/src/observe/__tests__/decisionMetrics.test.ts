import { expect } from 'chai';
import { createServingBox, facts, settings } from '../../__tests__/__fixtures__/box.js';
import { recordWork } from '../../slices/workspaceShares/workSums.js';
import { setDecisionMetrics } from '../decisionMetrics.js';
import { createGatewayMetrics } from '../gatewayMetrics.js';

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
