/** A fake platform with a table and a cloud, which are subject to the active faults. */
import type { TableAnswer, TableOp } from 'reedlug-coordination';
import type { CommandResult, CloudRequest } from 'reedlug-decisions';
import { applyTableOp } from 'reedlug-standins';
import { emitLater } from './emit.js';
import { Delay, platformReachable } from './links.js';
import { addServer } from './world.js';
import type { World, WorldBox } from './worldTypes.js';
import { endServer } from './faults.js';

/** Time after which a box gives up on an answer of the platform, in ms. */
const TIMEOUT_MS = 1000;
/** Mean extra delay of a slow table, in ms. */
const MEAN_SLOW_TABLE_DELAY_MS = 700;

/** Performs a table operation for a box. */
export function handleTableOp(world: World, box: WorldBox, opId: string, op: TableOp): void {
  const { faults, queue } = world;
  const answerLater = (delayMs: number, answer: TableAnswer): void =>
    emitLater(world, box, delayMs, { type: 'tableAnswered', opId, answer });
  const nowMs = queue.nowMs();
  if (!platformReachable(world, box) || nowMs < faults.tableDownUntilMs) {
    answerLater(TIMEOUT_MS, { kind: 'unknown' });
    return;
  }
  const slowMs =
    nowMs < faults.tableSlowUntilMs ? world.random.unit() * MEAN_SLOW_TABLE_DELAY_MS * 2 : 0;
  const delayMs = Delay.platform + slowMs;
  queue.at(nowMs + delayMs, () => {
    const answer = applyTableOp(world.table, op);
    const lost = op.kind === 'transact' && world.random.chance(faults.loseAnswers);
    if (lost || slowMs > TIMEOUT_MS) answerLater(TIMEOUT_MS, { kind: 'unknown' });
    else answerLater(Delay.platform, answer);
  });
}

/** Performs a request of a box to the cloud. */
export function handleCloudRequest(
  world: World,
  box: WorldBox,
  askId: string,
  request: CloudRequest,
): void {
  const answerLater = (delayMs: number, answer: CommandResult): void =>
    emitLater(world, box, delayMs, { type: 'cloudAnswered', askId, answer });
  if (!platformReachable(world, box)) {
    answerLater(TIMEOUT_MS, { kind: 'unknown' });
    return;
  }
  world.queue.at(world.queue.nowMs() + Delay.platform, () => {
    if (request.fence < world.cloudFence) {
      answerLater(Delay.platform, { kind: 'refused', reason: 'old fence' });
      return;
    }
    world.cloudFence = request.fence;
    if (request.kind === 'stop') {
      endServer(world, request.serverId);
      answerLater(Delay.platform, { kind: 'done' });
      return;
    }
    if (world.queue.nowMs() < world.faults.refuseStartsUntilMs) {
      answerLater(Delay.platform, { kind: 'refused', reason: 'no capacity' });
      return;
    }
    startEngine(world, request);
    answerLater(Delay.platform, { kind: 'done' });
  });
}

function startEngine(world: World, request: Extract<CloudRequest, { kind: 'start' }>): void {
  if (world.startTokens.has(request.startToken)) return;
  world.startTokens.add(request.startToken);
  const pool = world.options.settings.pools.find(({ model }) => model === request.pool);
  if (pool === undefined) return;
  world.queue.at(world.queue.nowMs() + world.options.engineStartMs, () => {
    addServer(world, {
      id: request.startToken,
      kind: 'engine',
      zone: request.zone,
      pool: request.pool,
      version: pool.version,
      slots: pool.slotsPerEngine,
      machineClass: request.machineClass,
      reclaimable: request.reclaimable,
      checksFence: pool.checksFence,
      address: `http://${request.startToken}`,
    });
  });
}
