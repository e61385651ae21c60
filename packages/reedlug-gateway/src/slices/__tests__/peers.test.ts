import { expect } from 'chai';
import {
  configuration,
  createServingBox,
  facts,
  ofType,
  peerMessage,
  settings,
  createBox,
} from '../../__tests__/__fixtures__/box.js';

test('a box that stays behind a peer asks it for the configuration', () => {
  const box = createServingBox();
  const newer = { configurationVersion: 5 };
  box.take({ type: 'peerMessage', message: peerMessage({ ...newer, sequence: 1 }) });
  box.pass(400);
  const effects = box.take({
    type: 'peerMessage',
    message: peerMessage({ ...newer, sequence: 2 }),
  });
  expect(ofType(effects, 'askPeer')).to.have.length(1);
});

test('an older configuration never comes into force', () => {
  const box = createServingBox();
  const take = (version: number, source: 'store' | 'peer'): void => {
    box.take({
      type: 'configurationRead',
      configuration: configuration({ version }),
      source,
    });
  };
  take(7, 'store');
  take(6, 'peer');
  expect(box.state.active?.configuration.version).to.equal(7);
});

test('what a peer admits counts against the limit here', () => {
  const box = createServingBox();
  const take = (sequence: number, admitted: number): void => {
    const message = peerMessage({ sequence, admitted: { tiger: admitted } });
    box.take({ type: 'peerMessage', message });
  };
  const ask = (exchangeId: number) =>
    box.take({
      type: 'requestArrived',
      exchangeId,
      facts: facts({ requestId: `request-${exchangeId}` }),
    });
  expect(ofType(ask(1), 'send')).to.have.length(1);
  take(1, 1000);
  take(2, 40_000);
  const refusal = ofType(ask(2), 'refuse')[0];
  expect(refusal?.status).to.equal(429);
  expect(refusal?.retryAfterMs).to.be.greaterThan(0);
});

test('messages that overtake each other do not count twice', () => {
  const box = createServingBox();
  const take = (sequence: number, admitted: number): void => {
    const message = peerMessage({ sequence, admitted: { tiger: admitted } });
    box.take({ type: 'peerMessage', message });
  };
  take(1, 0);
  take(3, 2000);
  take(2, 1000);
  expect(box.state.peers.get('box-2')?.message?.sequence).to.equal(3);
});

test('a box without configuration refuses as not run', () => {
  const box = createBox(settings());
  const effects = box.take({ type: 'requestArrived', exchangeId: 1, facts: facts() });
  expect(ofType(effects, 'refuse')[0]?.status).to.equal(503);
});
