// Whether a box that was stopped while a decision waited decides before it has read what came meanwhile.
// Shows the cause of a test that failed in CI (KNOWN-RED.txt, issue 87); it breaks no rule, so it is no case.
// Run after the build: node review/trial-reads.mjs
/* global console, performance, process, setImmediate, setInterval, setTimeout */
import { fork } from 'node:child_process';
import { connect, createServer } from 'node:net';
import { once } from 'node:events';
import { createReadProgress } from '../packages/reedlug-gateway/dist/daemon/readProgress.js';

const STILL_MS = 600;
const HOST = '127.0.0.1';

/** The server of the trial, a process of its own: sends a byte each ms, and an answer that was asked for. */
function serve() {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', (kind) => {
      if (kind.toString() === 'bytes') setInterval(() => socket.write('.'), 1);
      // The answer is sent while the other process stands still.
      else socket.on('data', () => setTimeout(() => socket.write('answer'), STILL_MS / 2));
    });
  });
  server.listen(0, HOST, () => process.send(server.address().port));
}

/** Stands still as a process does that is stopped: nothing is read, no timer runs. */
const standStill = (forMs) => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);

/** Stands still in the turn that is given, before it ends, and returns what the decision knew. */
async function trial(port, stillInTurn) {
  const bytes = connect(port, HOST);
  const answers = connect(port, HOST);
  await Promise.all([once(bytes, 'connect'), once(answers, 'connect')]);
  bytes.write('bytes');
  answers.write('answers');
  await new Promise((resolve) => setTimeout(resolve, 50));
  let isAnswered = false;
  answers.on('data', () => (isAnswered = true));
  // The thread is late once, as on a box that is busy; from then on it is on time.
  let lateMs = 100;
  const reads = createReadProgress(() => lateMs);
  let isOver = false;
  const decision = new Promise((resolve) => {
    setImmediate(() => {
      const beganAtTurn = reads.turn();
      const beganMs = performance.now();
      bytes.on('data', () => {
        if (isOver || stillInTurn === 0 || reads.turn() !== beganAtTurn + stillInTurn - 1) return;
        isOver = true;
        answers.write('now');
        standStill(STILL_MS);
      });
      reads.afterReads(() => {
        isOver = true;
        resolve({ isAnswered, afterMs: Math.round(performance.now() - beganMs) });
      });
      lateMs = 0;
      // Each turn takes some ms, so that a byte lies unread in the next one.
      const takeTime = () => {
        standStill(5);
        if (!isOver) setImmediate(takeTime);
      };
      takeTime();
    });
  });
  const { isAnswered: knew, afterMs } = await decision;
  await new Promise((resolve) => setTimeout(resolve, STILL_MS));
  bytes.destroy();
  answers.destroy();
  return { knew, afterMs, arrived: isAnswered };
}

if (process.send !== undefined) {
  serve();
} else {
  const child = fork(process.argv[1]);
  const [port] = await once(child, 'message');
  for (const stillInTurn of [1, 2]) {
    for (let run = 0; run < 5; run += 1) {
      const { knew, afterMs, arrived } = await trial(port, stillInTurn);
      console.log(
        `stood still for ${STILL_MS} ms in turn ${stillInTurn} of 2: decided after ${afterMs} ms, ` +
          `the answer that came meanwhile was ${knew ? 'read' : 'not read'}` +
          `${arrived && !knew ? ', it was read afterwards' : ''}`,
      );
    }
  }
  child.kill();
}
