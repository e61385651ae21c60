import { expect } from 'chai';
import { createServingBox, facts } from '../../__tests__/__fixtures__/box.js';
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
