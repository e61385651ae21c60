import { expect } from 'chai';
import { ConnectOutcome, createServerLinks, type ServerLink } from '../../types/serverLink.js';
import {
  connectPlan,
  isCutOff,
  isServerAtFault,
  patienceMs,
  peerPatienceMs,
} from '../connectPlan.js';

const NEVER = Number.NEGATIVE_INFINITY;

function downLink(changes: Partial<ServerLink> = {}): ServerLink {
  return {
    downSinceMs: 1000,
    failure: ConnectOutcome.silent,
    triedAtMs: 1000,
    openedByPeerAtMs: NEVER,
    peerFailures: [],
    failedByPeersAtMs: NEVER,
    ...changes,
  };
}

function cutLinks() {
  const failedSinceOpen = new Map([
    ['s1', { isConfirmed: false, isReachedByPeer: false }],
    ['s2', { isConfirmed: false, isReachedByPeer: false }],
  ]);
  return { ...createServerLinks(), failedSinceOpen, openedAtMs: 900 };
}

const BASE = { links: createServerLinks(), hasPeers: true, nowMs: 1100 };

test('a link that is up is tried alone for as long as connecting usually takes', () => {
  const links = { ...createServerLinks(), connectMs: 20, deviationMs: 25 };
  const plan = connectPlan({ ...BASE, link: undefined, links });
  expect(plan).to.deep.equal({
    isDirectTried: true,
    isAwaited: true,
    peersAfterMs: 120,
  });
  expect(patienceMs({ ...links, connectMs: 1000 })).to.equal(200);
  expect(patienceMs(createServerLinks())).to.equal(60);
});

test('one peer is waited for alone as long as connecting through peers usually takes', () => {
  const links = createServerLinks();
  const patience = (connectMs: number, deviationMs: number): number =>
    peerPatienceMs({ ...links, throughPeers: { connectMs, deviationMs } });
  expect(peerPatienceMs(links)).to.equal(120);
  expect(patience(3, 1)).to.equal(30);
  expect(patience(20, 10)).to.equal(60);
  expect(patience(200, 50)).to.equal(120);
});

test('while a link is down peers are asked at once, and the link is tried from time to time', () => {
  const link = downLink();
  expect(connectPlan({ ...BASE, link })).to.deep.equal({
    isDirectTried: false,
    isAwaited: true,
    peersAfterMs: 0,
  });
  const later = connectPlan({ ...BASE, link, nowMs: 1500 });
  expect(later).to.deep.equal({ isDirectTried: true, isAwaited: true, peersAfterMs: 0 });
});

test('a box without peers tries its own link each time', () => {
  const plan = connectPlan({ ...BASE, link: downLink(), hasPeers: false });
  expect(plan).to.deep.equal({
    isDirectTried: true,
    isAwaited: true,
    peersAfterMs: undefined,
  });
});

test('a box that seems cut off asks peers at once also for servers that it has not tried', () => {
  expect(connectPlan({ ...BASE, link: undefined, links: cutLinks() }).peersAfterMs).to.equal(0);
});

test('where neither the box nor its peers reach servers, connecting fails at once, also during trials', () => {
  const link = downLink({ failedByPeersAtMs: 1050 });
  const params = { ...BASE, link, links: cutLinks() };
  const shared = { isAwaited: false, peersAfterMs: undefined };
  expect(connectPlan(params)).to.deep.equal({ ...shared, isDirectTried: false });
  const later = connectPlan({ ...params, nowMs: 1560 });
  expect(later).to.deep.equal({ isDirectTried: true, isAwaited: false, peersAfterMs: 0 });
});

test('where no box reaches any server, a server that was not tried yet is not waited for', () => {
  const failedSinceOpen = new Map([
    ['s1', { isConfirmed: true, isReachedByPeer: false }],
    ['s2', { isConfirmed: true, isReachedByPeer: false }],
  ]);
  const links = { ...cutLinks(), failedSinceOpen, failure: ConnectOutcome.silent };
  expect(connectPlan({ ...BASE, link: undefined, links }).isAwaited).to.equal(false);
  const reached = new Map([
    ...failedSinceOpen,
    ['s3', { isConfirmed: false, isReachedByPeer: true }],
  ]);
  const partly = { ...links, failedSinceOpen: reached };
  expect(connectPlan({ ...BASE, link: undefined, links: partly }).isAwaited).to.equal(true);
});

test('a server that refuses is tried each time, as that costs nothing', () => {
  const link = downLink({ failedByPeersAtMs: 1050, failure: ConnectOutcome.refused });
  const plan = connectPlan({ ...BASE, link, links: cutLinks() });
  expect(plan).to.deep.equal({
    isDirectTried: true,
    isAwaited: true,
    peersAfterMs: undefined,
  });
});

test('a box is cut off once connections to several servers failed that peers may reach', () => {
  expect(isCutOff(cutLinks())).to.equal(true);
  expect(isCutOff(createServerLinks())).to.equal(false);
  const links = cutLinks();
  links.failedSinceOpen.set('s1', { isConfirmed: true, isReachedByPeer: false });
  expect(isCutOff(links)).to.equal(false);
  links.failedSinceOpen.set('s3', { isConfirmed: false, isReachedByPeer: false });
  expect(isCutOff(links)).to.equal(true);
});

test('a server that peers reach is not at fault for a failed connection', () => {
  const { links, nowMs } = BASE;
  expect(isServerAtFault(undefined, links, nowMs)).to.equal(true);
  expect(isServerAtFault(downLink(), links, nowMs)).to.equal(true);
  expect(isServerAtFault(downLink({ openedByPeerAtMs: 1050 }), links, nowMs)).to.equal(false);
  expect(isServerAtFault(downLink({ failedByPeersAtMs: 1050 }), cutLinks(), nowMs)).to.equal(true);
  expect(isServerAtFault(downLink(), cutLinks(), nowMs)).to.equal(false);
});
