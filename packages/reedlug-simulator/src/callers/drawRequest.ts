/** Draws requests: kind, workspace, prompt and length. */
import type { PromptPart, RequestFacts } from 'reedlug-gateway';
import type { Random } from 'reedlug-standins';
import type { Scene, SceneClass, SizeSpec } from '../scene/scene.js';

/** Host of every route of a scene. */
export const SCENE_HOST = 'scene.example';

/** Path of a kind of request. */
export function pathOf(className: string): string {
  return `/${className}/`;
}

/** Key of a workspace. */
export function keyOf(workspace: string): string {
  return `key-of-${workspace}`;
}

/** Name of a scene's workspace. */
export function workspaceName(index: number): string {
  return `workspace-${index + 1}`;
}

/** Shares of the workspaces in the load: a few are large. */
export function workspaceShares(count: number): number[] {
  const weights = Array.from({ length: count }, (_, index) => 1 / (index + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight) => weight / total);
}

/** A size with the given mean and the given spread of its logarithm. */
export function drawSize(random: Random, { mean, spread }: SizeSpec): number {
  return random.logNormal(mean * Math.exp(-(spread ** 2) / 2), spread);
}

/** Lengths of the parts that requests of a class share; the same in every run of a seed. */
export type SharedParts = Map<string, readonly (readonly number[])[]>;

/** Draws the shared parts of a scene. */
export function drawSharedParts(scene: Scene, random: Random): SharedParts {
  const drawn: SharedParts = new Map();
  for (const { name, sharedParts } of scene.classes) {
    drawn.set(
      name,
      sharedParts.map(({ tokens, things }) =>
        Array.from({ length: things }, () => tokensOf(drawSize(random, tokens))),
      ),
    );
  }
  return drawn;
}

function tokensOf(size: number): number {
  return Math.max(1, Math.round(size));
}

/** What a request asks for. */
export interface DrawnRequest {
  facts: RequestFacts;
  workMs: number;
  events: number;
}

/** Draws one request of a class. */
export function drawRequest(
  scene: Scene,
  random: Random,
  params: { spec: SceneClass; shared: SharedParts; workspace: string; number: number },
): DrawnRequest {
  const { spec, shared, workspace, number } = params;
  const parts = drawParts(random, spec, shared.get(spec.name) ?? [], number);
  const events = spec.events === undefined ? 1 : tokensOf(drawSize(random, spec.events));
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  const isStream = spec.kind === 'stream';
  return {
    facts: {
      requestId: `request-${number}`,
      host: SCENE_HOST,
      path: `${pathOf(spec.name)}1`,
      key: keyOf(workspace),
      deadlineMs: spec.deadlineMs,
      promptTokens: isStream ? promptTokens : undefined,
      maxOutputTokens: isStream ? events * tokensPerEvent(scene, spec) : undefined,
      promptParts: parts,
      lastEventId: undefined,
      digest: digestOf(random, spec, number),
    },
    workMs: spec.workMs === undefined ? 0 : drawSize(random, spec.workMs),
    events,
  };
}

/** Requests of a class with few bodies share their digests. */
function digestOf(random: Random, { name, bodies }: SceneClass, number: number): string {
  return bodies === undefined ? `digest-${number}` : `${name}-${random.whole(1, bodies)}`;
}

function tokensPerEvent(scene: Scene, spec: SceneClass): number {
  const service = scene.services.find(({ name }) => name === spec.service);
  return service?.kind === 'engines' ? service.engine.tokensPerEvent : 1;
}

/** A later part belongs to one of the earlier part before it, as subjects to a template. */
function drawParts(
  random: Random,
  spec: SceneClass,
  shared: readonly (readonly number[])[],
  number: number,
): PromptPart[] {
  if (spec.ownTokens === undefined) return [];
  const parts: PromptPart[] = [];
  let thing = random.whole(0, Math.max(1, shared.at(-1)?.length ?? 1) - 1);
  for (let level = shared.length - 1; level >= 0; level -= 1) {
    const lengths = shared[level] ?? [];
    thing %= Math.max(1, lengths.length);
    parts.unshift({ id: `${spec.name}-${level}-${thing}`, tokens: lengths[thing] ?? 1 });
  }
  const tokens = tokensOf(drawSize(random, spec.ownTokens));
  return [...parts, { id: `own-${number}`, tokens }];
}

/** Units of a workspace's limit that a mean request of the scene asks for. */
export function meanUnits(scene: Scene): number {
  let weights = 0;
  let units = 0;
  for (const spec of scene.classes) {
    weights += spec.weight;
    units += spec.weight * unitsOf(scene, spec);
  }
  return units / weights;
}

function unitsOf(scene: Scene, spec: SceneClass): number {
  if (spec.kind !== 'stream') return scene.workspaces.plainTokens;
  const shared = spec.sharedParts.reduce((sum, { tokens }) => sum + tokens.mean, 0);
  const out = (spec.events?.mean ?? 0) * tokensPerEvent(scene, spec);
  return shared + (spec.ownTokens?.mean ?? 0) + out;
}
