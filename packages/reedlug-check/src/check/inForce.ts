/** Measures how long a confirmed revision takes until it is in force at every box. */
import { emit } from '../world/emit.js';
import { runUntil } from '../world/world.js';
import type { World } from '../world/worldTypes.js';
import { createCheckWorld } from './runSeed.js';

/** The confirmation comes in this span, which begins when the boxes have discovered each other. */
const CONFIRM_FROM_MS = 4000;
const CONFIRM_SPAN_MS = 1000;
const CONFIRM_STEP_MS = 137;
const STEP_MS = 50;
const TIMEOUT_MS = 20_000;

/**
 * Confirms a plan at one box. Returns the time in ms until every box has the plan's revision, or
 * infinity after the timeout.
 */
export function measureInForceMs(params: {
  seed: number;
  boxId: string;
  /** Zone that cannot reach the platform, if any. */
  cutFromPlatform: string | undefined;
}): number {
  const world = createCheckWorld(params.seed, new Set());
  if (params.cutFromPlatform !== undefined) world.cutFromPlatform.add(params.cutFromPlatform);
  world.observer.onOperator = (askId, answer) => {
    if (answer.kind === 'planned')
      sendOperatorRequest(world, params.boxId, `${askId}-confirm`, {
        kind: 'confirm',
        plan: answer.plan,
      });
  };
  // The boxes poll in phase, so the time of the confirmation varies with the seed.
  const confirmAtMs = CONFIRM_FROM_MS + ((params.seed * CONFIRM_STEP_MS) % CONFIRM_SPAN_MS);
  runUntil(world, confirmAtMs);
  const intent = { kind: 'createService', service: 'permits', deduplicates: false } as const;
  sendOperatorRequest(world, params.boxId, 'ask', {
    kind: 'plan',
    operatorId: 'o',
    planId: 'p',
    intent,
  });
  for (let waitedMs = STEP_MS; waitedMs <= TIMEOUT_MS; waitedMs += STEP_MS) {
    runUntil(world, confirmAtMs + waitedMs);
    if ([...world.boxes.values()].every(({ state }) => state.config.revision === 1))
      return waitedMs;
  }
  return Number.POSITIVE_INFINITY;
}

type OperatorRequest = Extract<Parameters<typeof emit>[2], { type: 'operatorAsked' }>['ask'];

function sendOperatorRequest(
  world: World,
  boxId: string,
  askId: string,
  request: OperatorRequest,
): void {
  const box = world.boxes.get(boxId);
  if (box === undefined) return;
  const epochMs = world.epochStartMs + world.queue.nowMs();
  emit(world, box, { type: 'operatorAsked', askId, ask: request, epochMs });
}
